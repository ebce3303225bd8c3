/* Messages between entry hosts, with the test program as the peer on the loopback.  Guards against
 * messages that were given up and reach a peer later, which then takes their sender as heard. */
#include "internal/peer_rpc.h"
#include "loopback.h"
#include "pomelolatch/config.h"
#include "suite.h"

#include <errno.h>
#include <poll.h>
#include <unistd.h>

#define WAIT_MS 10000
#define RECORD_BYTES_MAX 4096

static void
ignore_message (void *data, struct pl_message *message)
{
  (void) data;
  (void) message;
}

/* A partition holds up the call in the same way as a peer that does not answer. */
START_TEST (a_connection_whose_messages_were_given_up_is_reset)
{
  const struct pl_peers_options options
      = {.name = "a", .listen = "127.0.0.1:0", .nonce = 1, .on_message = ignore_message};
  const struct pl_message message = {.type = PL_MESSAGE_HEARTBEAT};
  struct pl_peers *peers = pl_peers_new (&options);
  uint64_t peer = pl_id_of ("entry_hosts", "b");
  struct pollfd wait = {.events = POLLIN};
  char bytes[RECORD_BYTES_MAX];
  char address[32];
  uint16_t port;
  int listener = loopback_listen (&port);
  ssize_t received;

  ck_assert_ptr_nonnull (peers);
  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  pl_peers_set_address (peers, peer, address);
  ck_assert_int_eq (pl_peers_send (peers, peer, &message), 0);
  wait.fd = listener;
  ck_assert_int_eq (poll (&wait, 1, WAIT_MS), 1);
  wait.fd = accept (listener, NULL, NULL);
  do
    {
      ck_assert_int_eq (poll (&wait, 1, WAIT_MS), 1);
      received = read (wait.fd, bytes, sizeof bytes);
    }
  while (received > 0);
  ck_assert_int_eq (received, -1);
  ck_assert_int_eq (errno, ECONNRESET);
  close (wait.fd);
  close (listener);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "peer_rpc");

  tcase_add_test (tcase, a_connection_whose_messages_were_given_up_is_reset);
  return suite_run (suite);
}
