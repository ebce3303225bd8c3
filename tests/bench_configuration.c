/* bench_configuration - what a large configuration costs an entry host.
 *
 *   bench_configuration [NAME_BYTES]
 *
 * Adopts a configuration of 5,000 accounts and 500 routes whose names have NAME_BYTES characters,
 * twice, and puts 3,000 requests in progress at once.  Prints the memory that each adoption adds
 * and that of a request in progress.  "make build/tests/bench_configuration" builds it; it stands
 * here since it writes documents of the platform.
 */
#include "internal/dialect.h"
#include "internal/keys.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACCOUNTS 5000
#define ROUTES 500
#define SERVERS 40
#define CALLS 3000
#define SECOND INT64_C (1000000)
#define NAME_BYTES_DEFAULT 200

static struct pl_router *router;
static struct pl_router_effects effects;

static int
find_region (void *data, const char *region)
{
  (void) data;
  return pl_router_ensure_region (router, region);
}

static void
step (struct pl_router_event *event)
{
  event->now_us = 10 * SECOND;
  pl_router_step (router, event, &effects);
  pl_router_effects_clear (&effects);
}

static void
put_row (enum pl_table table, const char *key, const char *value, int64_t version)
{
  struct pl_row row = {key, value, strlen (value), version, 0};
  struct pl_router_event event = {
      .type = PL_ROUTER_ROWS,
      .u.rows = {.table = table, .version = version, .rows = &row, .count = 1},
  };

  step (&event);
}

static char *
make_configuration (int version, int name_bytes)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"Version\":\"r%d\",\"Resources\":[{\"ResourceKind\":\"Services\","
                          "\"Metadata\":{\"Name\":\"stock\"},\"Spec\":{\"HealthPath\":\"/h\"}}",
                          version);
  for (int i = 0; i < ROUTES; i++)
    g_string_append_printf (
        text,
        ",{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"%0*d\"},\"Spec\":{\"Host\":\"h\","
        "\"Prefix\":\"/%d/\",\"Kind\":\"idempotent\",\"Service\":\"stock\"}}",
        name_bytes, i, i);
  for (int i = 0; i < ACCOUNTS; i++)
    g_string_append_printf (text,
                            ",{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"%0*d\"},"
                            "\"Spec\":{\"ApiKeys\":[\"key-%d\"],\"RatePerS\":100,\"Burst\":100}}",
                            name_bytes, i, i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
adopt (int version, int name_bytes)
{
  g_autofree char *text = make_configuration (version, name_bytes);
  size_t before = mallinfo2 ().uordblks;

  put_row (PL_TABLE_CONTROL, "config", text, version);
  printf ("version %d  bytes %zu  memory %+.1f MB\n", version, strlen (text),
          ((double) mallinfo2 ().uordblks - (double) before) / 1e6);
}

static void
put_servers (void)
{
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("server-%d", i);
      g_autofree char *text
          = g_strdup_printf ("{\"Address\":\"10.1.0.%d:80\",\"born\":1,\"Info\":{\"Service\":"
                             "\"stock\",\"Zone\":\"a-1\","
                             "\"Slots\":100},\"Status\":{\"State\":\"ready\",\"Sequence\":1}}",
                             i + 1);

      put_row (PL_TABLE_SERVERS, id, text, i + 1);
    }
}

static void
send_calls (void)
{
  size_t before = mallinfo2 ().uordblks;

  for (int i = 0; i < CALLS; i++)
    {
      g_autofree char *path = g_strdup_printf ("/%d/1", i % ROUTES);
      g_autofree char *key = g_strdup_printf ("key-%d", i % ACCOUNTS);
      struct pl_router_event event = {
          .type = PL_ROUTER_CALL,
          .u.call = {.request = (uint64_t) i + 1,
                     .correlation_id = "9c41d07be2a35f68",
                     .host = "h",
                     .path = path,
                     .has_key = true,
                     .caller_timeout_us = SECOND},
      };

      pl_key_hash (key, strlen (key), event.u.call.key_hash);
      step (&event);
    }
  printf ("calls %d  bytes a call %.0f\n", CALLS,
          (double) (mallinfo2 ().uordblks - before) / CALLS);
}

int
main (int argc, char **argv)
{
  static const char *const domains[] = {"a-1=a", NULL};
  int name_bytes = argc > 1 ? atoi (argv[1]) : NAME_BYTES_DEFAULT;
  struct pl_regions regions = {.find = find_region};
  struct pl_router_options options = {
      .name = "host-a",
      .domain = "a-1",
      .caller_address = "10.0.0.1:80",
      .peer_address = "10.0.0.1:7600",
      .relay_address = "10.0.0.1:7600",
      .domains = domains,
      .incarnation = 1,
      .capacity = 200,
      .now_us = SECOND,
      .grace_us = 6 * SECOND,
      .retry_ratio = 0.2,
      .retry_slack = 50,
      .decode = pl_platform_dialect.decode_row,
      .decode_data = &regions,
  };

  router = pl_router_new (&options);
  put_servers ();
  adopt (3, name_bytes);
  adopt (4, name_bytes);
  send_calls ();
  pl_router_free (router);
  pl_router_effects_free (&effects);
  return EXIT_SUCCESS;
}
