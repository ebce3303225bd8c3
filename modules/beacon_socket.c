/* UDP socket for beacons, and their XDR codec.
 *
 * Each code_ function encodes or decodes, depending on the operation of its XDR stream (libtirpc).
 * A datagram begins with a format number; one that has another format, is truncated, or has a
 * count out of range is dropped and logged.
 */
#include "internal/beacon_socket.h"
#include "internal/log.h"
#include "internal/net.h"
#include "pomelolatch/error.h"

#include <errno.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define BEACON_FORMAT 3
#define DATAGRAMS_PER_WAKEUP 64

/* IPv4 and UDP headers. */
#define IP_UDP_HEADER_BYTES 28

struct traffic
{
  uint64_t datagrams;
  uint64_t bytes;
};

struct pl_beacon_socket
{
  struct pl_beacon_socket_options options;
  int fd;
  struct traffic sent[PL_BEACON_KINDS];
  struct traffic received[PL_BEACON_KINDS];
};

static const char *const kind_names[PL_BEACON_KINDS] = {
    [PL_BEACON_ACCOUNTS] = "accounts", [PL_BEACON_PERMITS] = "permits",
    [PL_BEACON_CONTACTS] = "contacts", [PL_BEACON_STATES] = "states",
    [PL_BEACON_PLAIN] = "plain",
};

static enum pl_beacon_kind
kind_of (const struct pl_beacon *beacon)
{
  if (beacon->contact_count > 0)
    return PL_BEACON_CONTACTS;
  if (beacon->permits_count > 0)
    return PL_BEACON_PERMITS;
  if (beacon->account_count > 0)
    return PL_BEACON_ACCOUNTS;
  return beacon->state_count > 0 ? PL_BEACON_STATES : PL_BEACON_PLAIN;
}

static void
count_datagram (struct traffic *traffic, const struct pl_beacon *beacon, size_t length)
{
  traffic[kind_of (beacon)].datagrams++;
  traffic[kind_of (beacon)].bytes += length + IP_UDP_HEADER_BYTES;
}

static bool
code_text (XDR *xdr, char *text, size_t size)
{
  return xdr_string (xdr, &text, (u_int) size - 1) != 0;
}

static bool
code_u64 (XDR *xdr, uint64_t *value)
{
  return xdr_uint64_t (xdr, value) != 0;
}

static bool
code_i64 (XDR *xdr, int64_t *value)
{
  return xdr_int64_t (xdr, value) != 0;
}

static bool
code_bool (XDR *xdr, bool *value)
{
  bool_t wide = *value;
  bool done = xdr_bool (xdr, &wide) != 0;

  *value = wide != 0;
  return done;
}

static bool
code_contact (XDR *xdr, struct pl_contact *contact)
{
  return code_text (xdr, contact->name, sizeof contact->name)
         && code_text (xdr, contact->domain, sizeof contact->domain)
         && code_text (xdr, contact->peer_address, sizeof contact->peer_address)
         && code_text (xdr, contact->caller_address, sizeof contact->caller_address)
         && code_text (xdr, contact->relay_address, sizeof contact->relay_address)
         && xdr_int (xdr, &contact->capacity) != 0;
}

/* Codes COUNT flags as bits of NUMBER, from bit FIRST on. */
static bool
code_bits (XDR *xdr, bool *const *flags, size_t count, u_int *number, int first)
{
  for (size_t i = 0; i < count; i++)
    *number |= *flags[i] ? 1U << (i + (size_t) first) : 0;
  if (!xdr_u_int (xdr, number))
    return false;
  for (size_t i = 0; i < count; i++)
    *flags[i] = (*number >> (i + (size_t) first) & 1) != 0;
  return true;
}

/* The flags, busy_percent and confirmed_age_us share one number.  Of the age, which is told in
 * hundredths of a second and one more, 0 means that the sender runs a version which does not tell
 * it, and the highest one that it does not know it. */
#define BUSY_SHIFT 16
#define BUSY_MASK 0x7fU
#define CONFIRMED_SHIFT 23
#define CONFIRMED_UNIT_US 10000
#define CONFIRMED_UNKNOWN 0x1ffU

static u_int
encode_confirmed_age (int64_t age_us)
{
  int64_t units = (age_us + CONFIRMED_UNIT_US - 1) / CONFIRMED_UNIT_US + 1;

  return age_us < 0 || units > CONFIRMED_UNKNOWN ? CONFIRMED_UNKNOWN : (u_int) units;
}

/* Hosts of earlier versions are taken to know the newest rows as long as they do not say that the
 * store is lost. */
static int64_t
decode_confirmed_age (u_int units, const struct pl_beacon *beacon)
{
  if (units == CONFIRMED_UNKNOWN || (units == 0 && (beacon->store_lost || beacon->store_quiet)))
    return -1;
  return units > 0 ? (int64_t) (units - 1) * CONFIRMED_UNIT_US : 0;
}

static bool
code_flags (XDR *xdr, struct pl_beacon *beacon)
{
  bool *const flags[]
      = {&beacon->has_identity, &beacon->active,     &beacon->ready,        &beacon->leaving,
         &beacon->watching,     &beacon->store_lost, &beacon->store_down,   &beacon->wants_contacts,
         &beacon->is_delegate,  &beacon->is_short,   &beacon->servers_lost, &beacon->store_quiet};
  u_int number = ((u_int) beacon->busy_percent & BUSY_MASK) << BUSY_SHIFT
                 | encode_confirmed_age (beacon->confirmed_age_us) << CONFIRMED_SHIFT;

  if (!code_bits (xdr, flags, G_N_ELEMENTS (flags), &number, 0))
    return false;
  beacon->busy_percent = (int) (number >> BUSY_SHIFT & BUSY_MASK);
  beacon->confirmed_age_us = decode_confirmed_age (number >> CONFIRMED_SHIFT, beacon);
  return true;
}

/* The lengths of the lists and the scope of the account counts share one number. */
#define COUNT_BITS 7
#define COUNT_MASK 0x7fU

static bool
code_counts (XDR *xdr, struct pl_beacon *beacon)
{
  const int limits[] = {PL_BEACON_ACCOUNTS_MAX, PL_BEACON_STATES_MAX, PL_BEACON_CONTACTS_MAX,
                        PL_BEACON_SUSPECTS_MAX, PL_QUOTA_SCOPES - 1};
  int counts[] = {beacon->account_count, beacon->state_count, beacon->contact_count,
                  beacon->suspect_count, (int) beacon->account_scope};
  u_int number = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    number |= ((u_int) counts[i] & COUNT_MASK) << (i * COUNT_BITS);
  if (!xdr_u_int (xdr, &number))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      counts[i] = (int) (number >> (i * COUNT_BITS) & COUNT_MASK);
      if (counts[i] > limits[i])
        return false;
    }
  beacon->account_count = counts[0];
  beacon->state_count = counts[1];
  beacon->contact_count = counts[2];
  beacon->suspect_count = counts[3];
  beacon->account_scope = (enum pl_quota_scope) counts[4];
  return true;
}

static bool
code_delegate_report (XDR *xdr, struct pl_beacon *beacon)
{
  int *const counts[] = {&beacon->domain_hosts,   &beacon->domain_active, &beacon->domain_silent,
                         &beacon->fleet_hosts,    &beacon->fleet_active,  &beacon->fleet_domains,
                         &beacon->silent_permille};

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    if (!xdr_int (xdr, counts[i]) || *counts[i] < 0)
      return false;
  return true;
}

static bool
code_host_state (XDR *xdr, struct pl_beacon *beacon)
{
  bool done = code_i64 (xdr, &beacon->store_error_us)
              && (!beacon->has_identity || code_contact (xdr, &beacon->self))
              && (!beacon->is_delegate || code_delegate_report (xdr, beacon));

  for (int t = 0; done && t < PL_TABLES_MAX; t++)
    done = code_i64 (xdr, &beacon->held[t]);
  return done;
}

/* A delegate reports many states, so to save bytes the age (in hundredths of a second),
 * busy_percent and the flags share one number. */
#define STATE_AGE_UNIT_US 10000
#define STATE_AGE_MAX 0xffffU
#define STATE_BUSY_SHIFT 16
#define STATE_BUSY_MASK 0x7fU
#define STATE_FLAGS_SHIFT 24

static bool
code_member_state (XDR *xdr, struct pl_beacon_state *state)
{
  bool *const flags[] = {&state->ready,    &state->leaving,     &state->active,
                         &state->watching, &state->is_delegate, &state->servers_lost};
  u_int age = (u_int) MIN (state->age_us / STATE_AGE_UNIT_US, (int64_t) STATE_AGE_MAX);
  u_int number = age | ((u_int) state->busy_percent & STATE_BUSY_MASK) << STATE_BUSY_SHIFT;

  if (!code_u64 (xdr, &state->host)
      || !code_bits (xdr, flags, G_N_ELEMENTS (flags), &number, STATE_FLAGS_SHIFT))
    return false;
  if (xdr->x_op != XDR_DECODE)
    return true;
  state->age_us = (int64_t) (number & STATE_AGE_MAX) * STATE_AGE_UNIT_US;
  state->busy_percent = (int) (number >> STATE_BUSY_SHIFT & STATE_BUSY_MASK);
  return true;
}

static bool
code_lists (XDR *xdr, struct pl_beacon *beacon)
{
  bool done = true;

  for (int i = 0; done && i < beacon->state_count; i++)
    done = code_member_state (xdr, &beacon->states[i]);
  for (int i = 0; done && i < beacon->contact_count; i++)
    done = code_contact (xdr, &beacon->contacts[i]);
  for (int i = 0; done && i < beacon->suspect_count; i++)
    done = code_u64 (xdr, &beacon->suspects[i].fingerprint)
           && code_u64 (xdr, &beacon->suspects[i].server)
           && code_bool (xdr, &beacon->suspects[i].confirmed);
  return done;
}

/* Limits and permits, then the retained configuration, follow the rest of the beacon and are left
 * out when there are none: versions that do not know them ignore what follows. */
#define RATE_NONE UINT32_MAX
#define RATES_PER_UNIT 1000.0

static bool
code_limit (XDR *xdr, struct pl_beacon_limit *limit)
{
  uint32_t rate = limit->in_force
                      ? (uint32_t) MIN (limit->per_second * RATES_PER_UNIT, RATE_NONE - 1.0)
                      : RATE_NONE;
  uint32_t age_ms = (uint32_t) CLAMP (limit->age_us / 1000, 0, (int64_t) UINT32_MAX);

  if (!code_u64 (xdr, &limit->server) || !xdr_uint32_t (xdr, &rate) || !xdr_uint32_t (xdr, &age_ms))
    return false;
  if (xdr->x_op != XDR_DECODE)
    return true;
  limit->in_force = rate != RATE_NONE;
  limit->per_second = limit->in_force ? rate / RATES_PER_UNIT : 0;
  limit->age_us = (int64_t) age_ms * 1000;
  return true;
}

static bool
code_permits (XDR *xdr, struct pl_beacon_permits *permits)
{
  uint32_t wait_ms = (uint32_t) CLAMP (permits->wait_us / 1000, 0, (int64_t) UINT32_MAX);

  if (!code_limit (xdr, &permits->limit) || !code_bool (xdr, &permits->is_grant)
      || !xdr_int (xdr, &permits->count) || !xdr_uint32_t (xdr, &wait_ms))
    return false;
  permits->wait_us = (int64_t) wait_ms * 1000;
  return permits->count >= 0 && permits->count <= PL_BEACON_PERMIT_COUNT_MAX;
}

static bool
code_server_limits (XDR *xdr, struct pl_beacon *beacon)
{
  u_int number = (u_int) beacon->limit_count | (u_int) beacon->permits_count << COUNT_BITS;
  bool done = xdr_u_int (xdr, &number) != 0;

  beacon->limit_count = (int) (number & COUNT_MASK);
  beacon->permits_count = (int) (number >> COUNT_BITS & COUNT_MASK);
  if (beacon->limit_count > PL_BEACON_LIMITS_MAX || beacon->permits_count > PL_BEACON_PERMITS_MAX)
    return false;
  for (int i = 0; done && i < beacon->limit_count; i++)
    done = code_limit (xdr, &beacon->limits[i]);
  for (int i = 0; done && i < beacon->permits_count; i++)
    done = code_permits (xdr, &beacon->permits[i]);
  return done;
}

static bool
code_beacon (XDR *xdr, struct pl_beacon *beacon)
{
  int format = BEACON_FORMAT;
  bool done = xdr_int (xdr, &format) != 0 && format == BEACON_FORMAT
              && code_u64 (xdr, &beacon->host) && code_u64 (xdr, &beacon->incarnation)
              && code_flags (xdr, beacon) && code_counts (xdr, beacon);

  for (int i = 0; done && i < beacon->account_count; i++)
    done = code_u64 (xdr, &beacon->accounts[i].account)
           && xdr_uint32_t (xdr, &beacon->accounts[i].admitted) != 0;
  if (!done || beacon->is_short)
    return done;
  return code_host_state (xdr, beacon) && code_lists (xdr, beacon);
}

int
pl_beacon_encode (const struct pl_beacon *beacon, char *bytes, size_t size)
{
  struct pl_beacon copy = *beacon;
  bool has_optional = copy.limit_count + copy.permits_count > 0 || copy.retained_configuration > 0;
  XDR xdr;

  xdrmem_create (&xdr, bytes, (u_int) size, XDR_ENCODE);
  if (!code_beacon (&xdr, &copy) || (has_optional && !code_server_limits (&xdr, &copy))
      || (copy.retained_configuration > 0 && !code_i64 (&xdr, &copy.retained_configuration)))
    return PL_ERR_FULL;
  return (int) xdr_getpos (&xdr);
}

int
pl_beacon_decode (const char *bytes, size_t length, struct pl_beacon *beacon)
{
  XDR xdr;

  memset (beacon, 0, sizeof *beacon);
  xdrmem_create (&xdr, (char *) bytes, (u_int) length, XDR_DECODE);
  if (!code_beacon (&xdr, beacon)
      || (xdr_getpos (&xdr) < length && !code_server_limits (&xdr, beacon))
      || (xdr_getpos (&xdr) < length && !code_i64 (&xdr, &beacon->retained_configuration)))
    return PL_ERR_INVALID;
  return PL_OK;
}

static void
on_readable (void *data, int fd, uint32_t events)
{
  struct pl_beacon_socket *socket = data;
  char bytes[PL_BEACON_BYTES_MAX];
  struct pl_beacon beacon;

  (void) events;
  for (int i = 0; i < DATAGRAMS_PER_WAKEUP; i++)
    {
      ssize_t length = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);

      if (length < 0)
        return;
      if (pl_beacon_decode (bytes, (size_t) length, &beacon) < 0)
        pl_log (PL_LOG_WARNING, "beacon-unreadable", json_pack ("{s:i}", "bytes", (int) length));
      else
        {
          count_datagram (socket->received, &beacon, (size_t) length);
          socket->options.on_beacon (socket->options.data, &beacon);
        }
    }
}

struct pl_beacon_socket *
pl_beacon_socket_open (const struct pl_beacon_socket_options *options)
{
  struct pl_beacon_socket *created = g_new0 (struct pl_beacon_socket, 1);
  struct sockaddr_in address;

  created->options = *options;
  created->fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (created->fd < 0 || pl_net_parse (options->address, &address) < 0
      || bind (created->fd, (struct sockaddr *) &address, sizeof address) < 0)
    {
      if (created->fd >= 0)
        close (created->fd);
      g_free (created);
      return NULL;
    }
  pl_reactor_watch (options->reactor, created->fd, EPOLLIN, on_readable, created);
  return created;
}

void
pl_beacon_socket_send (struct pl_beacon_socket *socket, const char *address,
                       const struct pl_beacon *beacon)
{
  char bytes[PL_BEACON_BYTES_MAX];
  struct sockaddr_in target;
  int length = pl_beacon_encode (beacon, bytes, sizeof bytes);

  if (length < 0 || pl_net_parse (address, &target) < 0)
    {
      pl_log (PL_LOG_ERROR, "beacon-not-sent", json_pack ("{s:s}", "to", address));
      return;
    }
  count_datagram (socket->sent, beacon, (size_t) length);
  /* A failed send is not retried: datagrams can be lost anyway, and the next beacon follows within
   * half a second. */
  if (sendto (socket->fd, bytes, (size_t) length, MSG_DONTWAIT, (struct sockaddr *) &target,
              sizeof target)
      < 0)
    pl_log (PL_LOG_WARNING, "beacon-not-sent",
            json_pack ("{s:s,s:s}", "to", address, "error", g_strerror (errno)));
}

static void
append_traffic (GString *text, const char *direction, const struct traffic *traffic)
{
  for (int i = 0; i < PL_BEACON_KINDS; i++)
    g_string_append_printf (text,
                            "pomelolatch_control_datagrams_total{kind=\"%s\",direction=\"%s\"} "
                            "%" G_GUINT64_FORMAT "\n"
                            "pomelolatch_control_bytes_total{kind=\"%s\",direction=\"%s\"} "
                            "%" G_GUINT64_FORMAT "\n",
                            kind_names[i], direction, traffic[i].datagrams, kind_names[i],
                            direction, traffic[i].bytes);
}

void
pl_beacon_socket_metrics (const struct pl_beacon_socket *socket, GString *text)
{
  g_string_append (text, "# TYPE pomelolatch_control_datagrams_total counter\n"
                         "# TYPE pomelolatch_control_bytes_total counter\n");
  append_traffic (text, "sent", socket->sent);
  append_traffic (text, "got", socket->received);
}
