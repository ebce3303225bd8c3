/* A front on a reactor of its own, with the test as the router, the backend server and the caller,
 * on the loopback. */
#include "front_fixture.h"
#include "loopback.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define POLL_US (5 * MS)
#define TEXT_BYTES 4096
/* Long enough for bytes on the loopback to arrive. */
#define ARRIVAL_US (20 * MS)

static void
send_text (int fd, const char *text)
{
  send (fd, text, strlen (text), MSG_NOSIGNAL);
}

/* Serves one connection with the answers of the script, in order. */
static void *
serve_connection (void *data)
{
  struct front_fixture *fixture = ((void **) data)[0];
  int fd = GPOINTER_TO_INT (((void **) data)[1]);
  const struct linger reset = {.l_onoff = 1};
  char text[TEXT_BYTES];

  g_free (data);
  for (int i = 0;
       fixture->on_request != NULL || (i < ATTEMPTS_MAX && fixture->script->answers[i] != NULL);
       i++)
    {
      size_t length = 0;

      memset (text, 0, sizeof text);
      while (strstr (text, "\r\n\r\n") == NULL)
        {
          ssize_t received = read (fd, text + length, sizeof text - 1 - length);

          if (received <= 0)
            goto out;
          length += (size_t) received;
        }
      g_atomic_int_inc (&fixture->requests);
      if (fixture->on_request != NULL && !fixture->on_request (fixture, fd, text))
        goto out;
      if (fixture->on_request != NULL)
        continue;
      send_text (fd, fixture->script->answers[i]);
      if (!fixture->repeats)
        continue;
      g_usleep (ARRIVAL_US / 2);
      send_text (fd, fixture->script->answers[i]);
    }
  if (fixture->resets)
    {
      g_usleep (ARRIVAL_US / 2);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
  /* The connection stays open until the client closes it. */
  while (!fixture->closes && !fixture->resets && read (fd, text, sizeof text) > 0)
    continue;
out:
  close (fd);
  return NULL;
}

static void *
serve (void *data)
{
  struct front_fixture *fixture = data;
  int fd;

  while ((fd = accept (fixture->listener, NULL, NULL)) >= 0)
    {
      void **arguments = g_new0 (void *, 2);
      pthread_t thread;

      g_atomic_int_inc (&fixture->connections);
      arguments[0] = fixture;
      arguments[1] = GINT_TO_POINTER (fd);
      pthread_create (&thread, NULL, serve_connection, arguments);
      pthread_detach (thread);
    }
  return NULL;
}

static void
set_send (const struct front_fixture *fixture, struct pl_router_effect *effect, uint32_t attempt)
{
  effect->type = PL_ROUTER_SEND;
  effect->attempt = attempt;
  effect->u.send.server = "s-1";
  g_snprintf (effect->u.send.address, sizeof effect->u.send.address, "127.0.0.1:%u", fixture->port);
  effect->u.send.time_left_us = 5 * SECOND;
  effect->u.send.at_most_once = fixture->at_most_once;
}

void
front_add_effect (struct front_fixture *fixture, const struct pl_router_effect *effect)
{
  g_queue_push_tail (&fixture->effects, g_memdup2 (effect, sizeof *effect));
  pl_reactor_skip_wait (fixture->reactor);
}

/* Replaces the router.  A failed attempt is refused with 502. */
static void
on_event (void *data, struct pl_router_event *event)
{
  struct front_fixture *fixture = data;
  struct pl_router_effect effect = {0};
  int attempts = g_atomic_int_get (&fixture->attempts);

  if (fixture->on_event != NULL)
    {
      fixture->on_event (fixture, event);
      return;
    }
  if (event->type == PL_ROUTER_PROBED)
    {
      fixture->is_healthy = event->u.probed.healthy;
      fixture->has_load = event->u.probed.has_load;
      fixture->load = event->u.probed.load;
      g_atomic_int_inc (&fixture->probed);
      return;
    }
  if (event->type == PL_ROUTER_CALL)
    {
      effect.request = event->u.call.request;
      set_send (fixture, &effect, 1);
    }
  else if (event->type == PL_ROUTER_ATTEMPT)
    {
      enum pl_attempt_end end = event->u.attempt.end;

      effect.request = event->u.attempt.request;
      effect.attempt = event->u.attempt.attempt;
      fixture->ends[attempts % ATTEMPTS_MAX] = end;
      fixture->has_load = event->u.attempt.has_load;
      fixture->load = event->u.attempt.load;
      g_atomic_int_inc (&fixture->attempts);
      effect.u.refuse.status = 502;
      effect.u.refuse.reason = "failed";
      if (end == PL_ATTEMPT_NOT_RUN && fixture->tries_again && event->u.attempt.attempt == 1)
        set_send (fixture, &effect, 2);
      else
        effect.type = end == PL_ATTEMPT_ANSWERED ? PL_ROUTER_DELIVER : PL_ROUTER_REFUSE;
      if (effect.type == PL_ROUTER_DELIVER)
        effect.u.deliver.status = event->u.attempt.status;
    }
  else
    {
      g_atomic_int_add (&fixture->callers_gone, event->type == PL_ROUTER_CALLER_GONE);
      return;
    }
  front_add_effect (fixture, &effect);
}

static void
start_probe (struct front_fixture *fixture)
{
  struct pl_router_effect effect = {.type = PL_ROUTER_PROBE};

  effect.u.probe.server_id = "s-1";
  g_snprintf (effect.u.probe.address, sizeof effect.u.probe.address, "127.0.0.1:%u", fixture->port);
  effect.u.probe.path = g_strdup ("/health");
  pl_front_execute (fixture->front, &effect);
  g_free (effect.u.probe.path);
}

static void
run_effects (void *data)
{
  struct front_fixture *fixture = data;
  struct pl_router_effect *effect;

  while ((effect = g_queue_pop_head (&fixture->effects)) != NULL)
    {
      pl_front_execute (fixture->front, effect);
      g_free (effect);
    }
  if (g_atomic_int_compare_and_exchange (&fixture->probe_due, 1, 0))
    start_probe (fixture);
  if (g_atomic_int_compare_and_exchange (&fixture->keepalive_due, 1, 0))
    pl_front_execute (fixture->front,
                      &(struct pl_router_effect){.type = PL_ROUTER_DISABLE_KEEPALIVE});
  if (g_atomic_int_compare_and_exchange (&fixture->closing_due, 1, 0))
    pl_front_close_idle (fixture->front);
  if (g_atomic_int_get (&fixture->stopping))
    pl_reactor_quit (fixture->reactor);
  pl_reactor_arm_timer (fixture->reactor, fixture->timer, g_get_monotonic_time () + POLL_US);
}

static void *
run_reactor (void *data)
{
  struct front_fixture *fixture = data;

  pl_reactor_run (fixture->reactor);
  return NULL;
}

static void
on_timer (void *data)
{
  (void) data;
}

void
set_up_front (struct front_fixture *fixture, const struct front_script *script)
{
  uint16_t port;
  struct pl_front_options options = {.dialect = &pl_platform_dialect};

  memset (fixture, 0, sizeof *fixture);
  fixture->script = script;
  fixture->at_most_once = true;
  g_queue_init (&fixture->effects);
  fixture->listener = loopback_listen (&fixture->port);
  pthread_create (&fixture->server, NULL, serve, fixture);
  close (loopback_listen (&port));
  g_snprintf (fixture->caller_address, sizeof fixture->caller_address, "127.0.0.1:%u", port);
  fixture->reactor = pl_reactor_new ();
  fixture->client = pl_http_client_new_on_reactor (fixture->reactor);
  fixture->timer = pl_reactor_add_timer (fixture->reactor, on_timer, fixture);
  options.address = fixture->caller_address;
  options.reactor = fixture->reactor;
  options.client = fixture->client;
  options.post = on_event;
  options.data = fixture;
  fixture->front = pl_front_new (&options);
  ck_assert_ptr_nonnull (fixture->front);
  pl_reactor_add_wait_hook (fixture->reactor, run_effects, fixture);
  pthread_create (&fixture->reactor_thread, NULL, run_reactor, fixture);
}

void
tear_down_front (struct front_fixture *fixture)
{
  g_atomic_int_set (&fixture->stopping, 1);
  pthread_join (fixture->reactor_thread, NULL);
  shutdown (fixture->listener, SHUT_RDWR);
  pthread_join (fixture->server, NULL);
  close (fixture->listener);
}

int
connect_to_front (const struct front_fixture *fixture, int receive_bytes)
{
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  address.sin_port
      = htons ((uint16_t) g_ascii_strtoull (strchr (fixture->caller_address, ':') + 1, NULL, 10));
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

int
begin_exchange (const struct front_fixture *fixture, const char *method, const char *id)
{
  g_autofree char *header = id != NULL
                                ? g_strdup_printf ("%s: %s\r\n", pl_platform_dialect.request_id, id)
                                : g_strdup ("");
  g_autofree char *text = g_strdup_printf (
      "%s /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s\r\n", method, header);
  int fd = connect_to_front (fixture, 0);

  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  return fd;
}

char *
exchange (const struct front_fixture *fixture, const char *method, const char *id)
{
  GString *answer = g_string_new (NULL);
  char bytes[TEXT_BYTES];
  ssize_t received;
  int fd = begin_exchange (fixture, method, id);

  while ((received = read (fd, bytes, sizeof bytes)) > 0)
    g_string_append_len (answer, bytes, received);
  close (fd);
  g_usleep (ARRIVAL_US);
  return g_string_free (answer, FALSE);
}

int
status_of (const char *answer)
{
  return answer[0] != '\0' ? atoi (answer + strlen ("HTTP/1.1 ")) : 0;
}

int
request (const struct front_fixture *fixture, const char *id)
{
  g_autofree char *answer = exchange (fixture, "GET", id);

  return status_of (answer);
}

void
probe (struct front_fixture *fixture)
{
  int probed = g_atomic_int_get (&fixture->probed);

  g_atomic_int_set (&fixture->probe_due, 1);
  while (g_atomic_int_get (&fixture->probed) == probed)
    g_usleep (POLL_US);
  g_usleep (ARRIVAL_US);
}
