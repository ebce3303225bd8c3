/* store_http.h - HTTP client of the platform's table service and host list.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_STORE_HTTP_H
#define POMELOLATCH_STORE_HTTP_H

#include "internal/http_client.h"
#include "pomelolatch/event.h"

struct pl_store;

struct pl_store_options
{
  struct pl_http_client *client;
  const char *address; /* IP:port */
  /* Receives the outcome of a call, on the client's thread. */
  void (*on_event) (void *data, const struct pl_event *event);
  void *data;
};

/* Returns a store that must outlive the client's calls. */
struct pl_store *pl_store_new (const struct pl_store_options *options);
void pl_store_free (struct pl_store *store);

/* Starts the call of REQUEST.  Always reports its outcome, as one event. */
void pl_store_call (struct pl_store *store, const struct pl_store_request *request);

/* Requests the list of leaving servers.  Reports it as an event; no event follows on failure, or
 * when no server is leaving. */
void pl_store_fetch_leaving_list (struct pl_store *store);

/* Returns the releases in the store from FROM_VERSION on, newest last, as a JSON array that the
 * caller owns, or NULL when the store cannot be read.  Blocks, so it must not be called on the
 * client's thread. */
json_t *pl_store_read_history (struct pl_store *store, int64_t from_version);

#endif
