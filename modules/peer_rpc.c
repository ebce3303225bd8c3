/* Sends and receives messages between entry hosts (ONC RPC, libtirpc).
 *
 * Receiving: one thread runs libtirpc's server loop over a listening socket of
 * this module, without a portmapper.  Connections are in non-blocking mode with
 * a limit on the record length, so a peer that stops within a record blocks no
 * other peer.
 *
 * Sending: one thread per peer, since a call blocks.  Each thread sends the
 * messages in its peer's queue as one call with a timeout, and closes the
 * connection on any failure.  A hung peer delays only its own thread.
 *
 * An envelope is accepted when its MAC, computed with the secret that all entry
 * hosts share, is valid, no envelope of a newer process of the sending host was
 * accepted before, and its sequence number is higher than that of any earlier
 * envelope of the same process.
 */
#include "internal/peer_rpc.h"
#include "internal/clock.h"
#include "internal/log.h"
#include "internal/net.h"
#include "internal/peer_codec.h"
#include "pomelolatch/error.h"

#include "peer_xdr.h"

#include <ck_pr.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <rpc/rpc.h>
#include <rpc/rpc_com.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALL_TIMEOUT_S 1
#define CONNECT_TIMEOUT_MS 500
#define RETRY_DELAY_US 200000
#define QUEUE_MAX 512
#define RECORD_BYTES_MAX (24 << 20)
#define POLL_TIMEOUT_MS 100

G_STATIC_ASSERT (crypto_auth_BYTES == PL_PEER_SECRET_BYTES);

struct peer
{
  struct pl_peers *peers;
  uint64_t id;
  pthread_t thread;
  GMutex lock;
  GCond wakeup;
  char address[PL_ADDRESS_CHARS]; /* from here to queue: under lock */
  bool address_changed;
  bool partitioned;
  bool stopping;
  GQueue queue;               /* of struct pl_message */
  uint64_t newest_started_us; /* from here on: receiving thread only */
  uint64_t newest_nonce;
  uint64_t newest_sequence;
};

struct pl_peers
{
  char name[PL_ID_CHARS];
  struct pl_peers_options options;
  uint64_t started_us;
  uint64_t sequence;
  uint64_t bytes_sent;
  int listener;
  SVCXPRT *transport;
  pthread_t thread;
  bool stopping;
  GMutex lock;
  GHashTable *by_id; /* id -> struct peer, under lock */
};

/* libtirpc has one dispatch table for the whole process. */
static struct pl_peers *registered_peers;

static void
compute_mac (const struct pl_peers *peers, const peer_envelope *envelope, uint8_t *mac)
{
  crypto_auth_hmacsha512256_state state;
  uint64_t numbers[3] = {envelope->nonce, envelope->started_us, envelope->sequence};

  crypto_auth_hmacsha512256_init (&state, peers->options.secret, PL_PEER_SECRET_BYTES);
  crypto_auth_hmacsha512256_update (&state, (uint8_t *) envelope->sender,
                                    strlen (envelope->sender) + 1);
  crypto_auth_hmacsha512256_update (&state, (uint8_t *) envelope->address,
                                    strlen (envelope->address) + 1);
  crypto_auth_hmacsha512256_update (&state, (uint8_t *) numbers, sizeof numbers);
  crypto_auth_hmacsha512256_update (&state, (uint8_t *) envelope->body.body_val,
                                    envelope->body.body_len);
  crypto_auth_hmacsha512256_final (&state, mac);
}

static void
message_free (gpointer data)
{
  pl_message_clear (data);
  g_free (data);
}

/* Waits for a message and pops up to PEER_MESSAGES_MAX from the queue.  Returns 0 when stopping. */
static int
pop_batch (struct peer *peer, struct pl_message *batch, char *address, bool *address_changed)
{
  int count = 0;

  g_mutex_lock (&peer->lock);
  while (peer->queue.length == 0 && !peer->stopping)
    g_cond_wait (&peer->wakeup, &peer->lock);
  while (count < PEER_MESSAGES_MAX && peer->queue.length > 0 && !peer->stopping)
    {
      g_autofree struct pl_message *message = g_queue_pop_head (&peer->queue);

      batch[count++] = *message;
    }
  g_strlcpy (address, peer->address, PL_ADDRESS_CHARS);
  *address_changed = peer->address_changed;
  peer->address_changed = false;
  g_mutex_unlock (&peer->lock);
  return count;
}

/* Returns a client handle that owns its socket, or NULL. */
static CLIENT *
connect_peer (const char *address)
{
  struct sockaddr_in to;
  struct netbuf buffer = {sizeof to, sizeof to, &to};
  struct timeval limit = {CALL_TIMEOUT_S, 0};
  CLIENT *client;
  int fd;

  if (pl_net_parse (address, &to) < 0)
    return NULL;
  fd = pl_net_connect (&to, CONNECT_TIMEOUT_MS);
  if (fd < 0)
    return NULL;
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  client = clnt_vc_create (fd, &buffer, PEER_PROGRAM, PEER_VERSION, 0, 0);
  if (client == NULL)
    {
      close (fd);
      return NULL;
    }
  clnt_control (client, CLSET_FD_CLOSE, NULL);
  return client;
}

static void
close_client (CLIENT **client)
{
  if (*client != NULL)
    clnt_destroy (*client);
  *client = NULL;
}

static int
send_batch (struct peer *peer, CLIENT *client, const struct pl_message *batch, int count)
{
  struct pl_peers *peers = peer->peers;
  struct timeval limit = {CALL_TIMEOUT_S, 0};
  peer_envelope envelope = {0};
  size_t length = 0;
  int accepted = 0;
  enum clnt_stat status;
  char *body = pl_peer_encode (batch, count, &length);

  if (body == NULL)
    return PL_ERR_INVALID;
  envelope.sender = peers->name;
  envelope.address = (char *) peers->options.listen;
  envelope.nonce = peers->options.nonce;
  envelope.started_us = peers->started_us;
  envelope.sequence = ck_pr_faa_64 (&peers->sequence, 1) + 1;
  envelope.body.body_val = body;
  envelope.body.body_len = (u_int) length;
  compute_mac (peers, &envelope, (uint8_t *) envelope.mac);
  status = clnt_call (client, PEER_DELIVER, (xdrproc_t) xdr_peer_envelope, (char *) &envelope,
                      (xdrproc_t) xdr_int, (char *) &accepted, limit);
  /* 160: about the size of the other fields and of the RPC and record headers. */
  ck_pr_add_64 (&peers->bytes_sent, length + 160);
  g_free (body);
  return status == RPC_SUCCESS ? PL_OK : PL_ERR_UNAVAILABLE;
}

/* Closes the connection so that messages that were given up do not arrive when a partition ends. */
static void
reset_client (CLIENT **client)
{
  const struct linger reset = {.l_onoff = 1};
  int fd = -1;

  if (!clnt_control (*client, CLGET_FD, (char *) &fd)
      || setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset) < 0)
    pl_log (PL_LOG_WARNING, "socket-option-refused", json_pack ("{s:i}", "errno", errno));
  close_client (client);
}

static void *
peer_thread (void *data)
{
  struct peer *peer = data;
  struct pl_message batch[PEER_MESSAGES_MAX];
  char address[PL_ADDRESS_CHARS];
  CLIENT *client = NULL;
  bool address_changed;
  int count;

  while ((count = pop_batch (peer, batch, address, &address_changed)) > 0)
    {
      if (address_changed)
        close_client (&client);
      if (client == NULL)
        client = connect_peer (address);
      if (client == NULL)
        g_usleep (RETRY_DELAY_US);
      else if (send_batch (peer, client, batch, count) < 0)
        reset_client (&client);
      for (int i = 0; i < count; i++)
        pl_message_clear (&batch[i]);
    }
  close_client (&client);
  return NULL;
}

/* Returns the peer's record, which is created if it does not exist.  The caller holds the lock of
 * PEERS. */
static struct peer *
ensure_peer (struct pl_peers *peers, uint64_t id)
{
  struct peer *peer = g_hash_table_lookup (peers->by_id, &id);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct peer, 1);
  peer->peers = peers;
  peer->id = id;
  g_mutex_init (&peer->lock);
  g_cond_init (&peer->wakeup);
  g_queue_init (&peer->queue);
  g_hash_table_insert (peers->by_id, &peer->id, peer);
  pthread_create (&peer->thread, NULL, peer_thread, peer);
  pthread_setname_np (peer->thread, "peer");
  return peer;
}

static struct peer *
find_peer (struct pl_peers *peers, uint64_t id, bool create)
{
  struct peer *peer;

  g_mutex_lock (&peers->lock);
  peer = create ? ensure_peer (peers, id) : g_hash_table_lookup (peers->by_id, &id);
  g_mutex_unlock (&peers->lock);
  return peer;
}

void
pl_peers_set_address (struct pl_peers *peers, uint64_t id, const char *address)
{
  struct peer *peer = find_peer (peers, id, true);

  g_mutex_lock (&peer->lock);
  if (strcmp (peer->address, address) != 0)
    {
      g_strlcpy (peer->address, address, sizeof peer->address);
      peer->address_changed = true;
    }
  g_mutex_unlock (&peer->lock);
}

void
pl_peers_set_partitioned (struct pl_peers *peers, uint64_t id, bool partitioned)
{
  struct peer *peer = find_peer (peers, id, true);

  g_mutex_lock (&peer->lock);
  peer->partitioned = partitioned;
  g_mutex_unlock (&peer->lock);
}

int
pl_peers_send (struct pl_peers *peers, uint64_t id, const struct pl_message *message)
{
  struct peer *peer = find_peer (peers, id, false);
  struct pl_message *copy;
  int result = PL_OK;

  if (peer == NULL || peer->address[0] == '\0')
    return PL_ERR_NOT_FOUND;
  g_mutex_lock (&peer->lock);
  if (peer->partitioned || peer->queue.length >= QUEUE_MAX)
    result = PL_ERR_FULL;
  else
    {
      copy = g_new (struct pl_message, 1);
      pl_message_copy (copy, message);
      g_queue_push_tail (&peer->queue, copy);
      g_cond_signal (&peer->wakeup);
    }
  g_mutex_unlock (&peer->lock);
  return result;
}

uint64_t
pl_peers_bytes_sent (const struct pl_peers *peers)
{
  return ck_pr_load_64 (&peers->bytes_sent);
}

/* Returns the sender's record if the envelope is accepted, else NULL. */
static struct peer *
accept_envelope (struct pl_peers *peers, const peer_envelope *envelope)
{
  uint8_t mac[PL_PEER_SECRET_BYTES];
  struct peer *peer;
  bool partitioned;

  compute_mac (peers, envelope, mac);
  if (sodium_memcmp (mac, envelope->mac, sizeof mac) != 0)
    {
      pl_log (PL_LOG_WARNING, "peer-denied", json_pack ("{s:s}", "why", "mac"));
      return NULL;
    }
  peer = find_peer (peers, pl_id_of ("entry_hosts", envelope->sender), true);
  g_mutex_lock (&peer->lock);
  partitioned = peer->partitioned;
  g_mutex_unlock (&peer->lock);
  if (partitioned || envelope->started_us < peer->newest_started_us
      || (envelope->nonce == peer->newest_nonce && envelope->sequence <= peer->newest_sequence))
    return NULL;
  peer->newest_started_us = envelope->started_us;
  peer->newest_nonce = envelope->nonce;
  peer->newest_sequence = envelope->sequence;
  pl_peers_set_address (peers, peer->id, envelope->address);
  return peer;
}

static void
dispatch (struct svc_req *request, SVCXPRT *transport)
{
  struct pl_peers *peers = registered_peers;
  peer_envelope envelope = {0};
  struct peer *peer;
  int accepted;

  if (request->rq_proc == NULLPROC)
    {
      svc_sendreply (transport, (xdrproc_t) (void *) xdr_void, NULL);
      return;
    }
  if (request->rq_proc != PEER_DELIVER)
    {
      svcerr_noproc (transport);
      return;
    }
  if (!svc_getargs (transport, (xdrproc_t) xdr_peer_envelope, (char *) &envelope))
    {
      svcerr_decode (transport);
      return;
    }
  peer = accept_envelope (peers, &envelope);
  accepted = peer != NULL ? PL_OK : PL_ERR_DENIED;
  if (peer != NULL)
    accepted = pl_peer_decode (envelope.body.body_val, envelope.body.body_len, peer->id,
                               peers->options.on_message, peers->options.data);
  svc_sendreply (transport, (xdrproc_t) xdr_int, (char *) &accepted);
  svc_freeargs (transport, (xdrproc_t) xdr_peer_envelope, (char *) &envelope);
}

static void *
receive_thread (void *data)
{
  struct pl_peers *peers = data;

  while (!ck_pr_load_8 ((uint8_t *) &peers->stopping))
    {
      int count = svc_max_pollfd;
      g_autofree struct pollfd *fds
          = g_memdup2 (svc_pollfd, (gsize) count * sizeof (struct pollfd));
      int ready = poll (fds, (nfds_t) count, POLL_TIMEOUT_MS);

      if (ready > 0)
        svc_getreq_poll (fds, ready);
    }
  return NULL;
}

struct pl_peers *
pl_peers_new (const struct pl_peers_options *options)
{
  struct pl_peers *peers = g_new0 (struct pl_peers, 1);
  struct sockaddr_in address;
  int maximum = RECORD_BYTES_MAX;

  peers->options = *options;
  g_strlcpy (peers->name, options->name, sizeof peers->name);
  peers->started_us = (uint64_t) g_get_real_time ();
  g_mutex_init (&peers->lock);
  peers->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  peers->listener = -1;
  if (pl_net_parse (options->listen, &address) == 0)
    peers->listener = pl_net_listen (&address);
  if (peers->listener < 0)
    goto fail;
  rpc_control (RPC_SVC_CONNMAXREC_SET, &maximum);
  peers->transport = svc_vc_create (peers->listener, 0, 0);
  if (peers->transport == NULL
      || !svc_reg (peers->transport, PEER_PROGRAM, PEER_VERSION, dispatch, NULL))
    goto fail;
  registered_peers = peers;
  pthread_create (&peers->thread, NULL, receive_thread, peers);
  pthread_setname_np (peers->thread, "peer-port");
  return peers;
fail:
  if (peers->listener >= 0)
    close (peers->listener);
  g_hash_table_destroy (peers->by_id);
  g_free (peers);
  return NULL;
}

static void
stop_peer (struct peer *peer)
{
  g_mutex_lock (&peer->lock);
  peer->stopping = true;
  g_cond_signal (&peer->wakeup);
  g_mutex_unlock (&peer->lock);
  pthread_join (peer->thread, NULL);
  g_queue_clear_full (&peer->queue, message_free);
  g_mutex_clear (&peer->lock);
  g_cond_clear (&peer->wakeup);
  g_free (peer);
}

void
pl_peers_free (struct pl_peers *peers)
{
  GHashTableIter iter;
  gpointer value;

  if (peers == NULL)
    return;
  ck_pr_store_8 ((uint8_t *) &peers->stopping, 1);
  pthread_join (peers->thread, NULL);
  svc_unreg (PEER_PROGRAM, PEER_VERSION);
  svc_destroy (peers->transport);
  g_hash_table_iter_init (&iter, peers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    stop_peer (value);
  g_hash_table_destroy (peers->by_id);
  g_mutex_clear (&peers->lock);
  registered_peers = NULL;
  g_free (peers);
}
