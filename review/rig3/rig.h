/* rig.h - stand-ins for the cases of this review: the platform's store, backend servers and the
 * wire of callers; starts entry hosts with the command and the settings template of deploy/.
 *
 * API tier: private.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RIG_HOSTS_MAX 20
#define RIG_SERVERS_MAX 32
#define RIG_STREAM_BYTES 65536
#define RIG_ID_BYTES 40

/* A connection and what was received on it and not used yet. */
struct rig_stream
{
  int fd;
  size_t used;
  char bytes[RIG_STREAM_BYTES];
};

enum rig_read
{
  RIG_READ_OK,
  RIG_READ_CLOSED,
  RIG_READ_RESET,
  RIG_READ_TIMEOUT,
};

/* A request at a server. */
struct rig_request
{
  int server;
  struct rig_stream *stream;
  char head[RIG_STREAM_BYTES];
  char method[16];
  char path[256];
  char id[RIG_ID_BYTES];
  size_t body_bytes;
};

/* Answers a request; returns whether its connection stays open. */
typedef bool rig_serve (struct rig_request *request);

int64_t rig_now_ms (void);
void rig_sleep_until (int64_t at_ms);
/* Adds a line to the record, with the time since the start. */
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Ends the program: it could not run. */
void rig_fail (const char *what) __attribute__ ((noreturn));

/* Opens the record, finds free loopback addresses, starts the store and COUNT servers. */
void rig_start (const char *record, int count, rig_serve *serve);
/* Sets the configuration: one idempotent route /read/ and one non-idempotent route /order/. */
void rig_configure (void);
/* Adds the failure domain NAME of REGION; without any there are north-a and north-b of north. Hosts
 * take the domains in turn. */
void rig_add_domain (const char *name, const char *region);
/* Has HOST, which starts later, reach the store through a proxy. */
void rig_proxy_store (int host);
/* Resets the connections through the proxies, and new ones, until ON is false. */
void rig_cut_store (bool on);
/* Has the proxies of all hosts that watch the store pass nothing on, until ON is false. */
void rig_silence_watchers (bool on);
/* Returns whether the proxy of HOST passes nothing on. */
bool rig_is_silent (int host);
/* Writes the configuration again, as a new VERSION. */
void rig_put_version (int version);
/* Removes the entry of SERVER from the store. */
void rig_remove_server (int server);
/* Ends SERVER: its connections are reset and new ones refused. */
void rig_end_server (int server);
void rig_start_hosts (int count);
void rig_signal_host (int host, int number);
/* Returns the wait status of HOST, or -1 if it still runs at UNTIL_MS. */
int rig_wait_host (int host, int64_t until_ms);
/* Ends all hosts and removes the temporary folder. */
void rig_stop (void);

/* Opens a connection to HOST; RECEIVE_BYTES is the caller's receive buffer, 0: the default. */
int rig_connect (int host, int receive_bytes);
bool rig_send (int fd, const void *bytes, size_t length);
enum rig_read rig_receive (struct rig_stream *stream, size_t most, int64_t until_ms);
/* Moves a whole head to HEAD. */
enum rig_read rig_read_head (struct rig_stream *stream, char *head, int64_t until_ms);
bool rig_get (const char *head, const char *name, char *value, size_t size);

#endif
