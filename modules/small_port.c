/* Minimal HTTP server for readiness, directory, metrics and relay: a request is answered by one
 * function call that does not block. */
#include "internal/small_port.h"
#include "internal/clock.h"
#include "internal/lingering.h"
#include "internal/net.h"
#include "pomelolatch/error.h"

#include <string.h>
#include <sys/epoll.h>

#define CONNECTION_LIMIT 600u
#define CONNECTION_TIMEOUT_S 20u
/* For a caller to read its answer after the end of the connection. */
#define LINGER_US INT64_C (1000000)

struct small_port
{
  struct pl_small_port_options options;
  struct MHD_Daemon *daemon;
};

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **context)
{
  struct small_port *port = data;
  g_autoptr (GString) body = g_string_new (NULL);
  struct pl_small_port_answer answer = {.body = body, .type = "application/json"};
  struct MHD_Response *response;
  enum MHD_Result result;
  int status = 405;

  (void) version;
  (void) upload;
  (void) context;
  *upload_size = 0;
  if (strcmp (method, "GET") == 0)
    status = port->options.answer (port->options.data, connection, url, &answer);
  response = MHD_create_response_from_buffer (body->len, body->str, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", answer.type);
  if (answer.encoding != NULL)
    MHD_add_response_header (response, "Content-Encoding", answer.encoding);
  result = MHD_queue_response (connection, (unsigned) status, response);
  MHD_destroy_response (response);
  return result;
}

/* libmicrohttpd closes a connection when this returns. */
static void
on_connection (void *data, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct small_port *port = data;
  struct pl_lingering_options options = {.fd = -1};

  (void) context;
  if (code != MHD_CONNECTION_NOTIFY_CLOSED || port->options.lingering == NULL)
    return;
  options.fd = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  options.until_us = pl_clock_now_us () + LINGER_US;
  pl_lingering_close_copy (port->options.lingering, &options);
}

static void
run_daemon (void *data, int fd, uint32_t ready)
{
  struct small_port *port = data;

  (void) fd;
  (void) ready;
  MHD_run (port->daemon);
}

int
pl_small_port_open (const struct pl_small_port_options *options)
{
  struct small_port *port = g_new0 (struct small_port, 1);
  struct sockaddr_in address;
  const union MHD_DaemonInfo *info;
  int fd = -1;

  port->options = *options;
  if (pl_net_parse (options->address, &address) == 0)
    fd = pl_net_listen (&address);
  if (fd >= 0)
    port->daemon = MHD_start_daemon (
        MHD_USE_EPOLL, 0, NULL, NULL, on_request, port, MHD_OPTION_LISTEN_SOCKET, fd,
        MHD_OPTION_CONNECTION_LIMIT, CONNECTION_LIMIT, MHD_OPTION_CONNECTION_TIMEOUT,
        CONNECTION_TIMEOUT_S, MHD_OPTION_NOTIFY_CONNECTION, on_connection, port, MHD_OPTION_END);
  if (port->daemon == NULL)
    {
      g_free (port);
      return PL_ERR_UNAVAILABLE;
    }
  info = MHD_get_daemon_info (port->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  pl_reactor_watch (options->reactor, info->epoll_fd, EPOLLIN, run_daemon, port);
  return PL_OK;
}
