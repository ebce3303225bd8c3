/* Tests what is in force of a configuration of which some parts can not be used, and what its
 * numbers mean. */
#include "router_world.h"
#include "suite.h"

#include <math.h>
#include <string.h>

#define SERVICE_B                                                                                  \
  "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"next\"},\"Spec\":{\"HealthPath\":"      \
  "\"/health\"}},"
/* Of a route /read/new/ that is not in the configuration before. */
#define ROUTE(spec)                                                                                \
  "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"new\"},\"Spec\":{\"Host\":\"h\","         \
  "\"Prefix\":\"/read/new/\",\"Kind\":\"idempotent\"," spec "}},"
#define ACCOUNT(spec)                                                                              \
  "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"new\"},\"Spec\":{\"ApiKeys\":"           \
  "[\"key-new\"]," spec "}},"

static struct world *world;

static void
put_server (struct world *in, const char *id, const char *service)
{
  g_autofree char *text = g_strdup_printf (
      "{\"Address\":\"10.1.0.%d:80\",\"born\":1,\"Info\":{\"Service\":\"%s\",\"Zone\":\"a-1\","
      "\"Slots\":4},\"Status\":{\"State\":\"ready\",\"Sequence\":1}}",
      (int) (g_str_hash (id) % 250) + 1, service);

  world_put_row (in, PL_TABLE_SERVERS, id, text);
}

static void
put_servers (struct world *in)
{
  put_server (in, "s-0", "stock");
  put_server (in, "s-1", "stock");
  put_server (in, "n-0", "next");
  put_server (in, "n-1", "next");
}

static void
set_up (void)
{
  world = world_new ();
  world_put_config (world, 3, NULL);
  put_servers (world);
  world_advance (world, 4 * WORLD_SECOND);
}

static void
tear_down (void)
{
  world_free (world);
}

/* Puts a configuration with the resources in EXTRA that withdraws key-1; see world_put_config(). */
static void
put_config_without_key (int version, const char *extra)
{
  g_autofree char *text = world_make_config (version, extra);
  char *key = strstr (text, "\"key-1\",");

  memmove (key, key + strlen ("\"key-1\","), strlen (key + strlen ("\"key-1\",")) + 1);
  world_put_row (world, PL_TABLE_CONTROL, "config", text);
}

static void
put_split (struct world *in, int version, double weight, double next_weight)
{
  g_autofree char *extra = g_strdup_printf (
      SERVICE_B ROUTE ("\"Public\":true,\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":%.17g},"
                       "{\"Service\":\"next\",\"Weight\":%.17g}]"),
      weight, next_weight);

  world_put_config (in, version, extra);
}

/* Sends COUNT requests on the split route and returns how many the second service runs. */
static int
count_at_next (struct world *in, int count)
{
  int at_next = 0;

  for (int i = 0; i < count; i++)
    {
      struct world_call *call = world_send_request (in, "/read/new/1", NULL);

      ck_assert_int_eq (call->sends, 1);
      at_next += call->server[0] == 'n';
      world_end_attempt (in, call, PL_ATTEMPT_ANSWERED, 200);
    }
  return at_next;
}

static const double weights[][2]
    = {{90, 10},         {0.9, 0.1},     {0.6, 0.4}, {1.5, 0.5}, {0.999, 0.001},
       {1e-300, 3e-300}, {1e308, 1e308}, {3e9, 1e9}, {0, 0.25},  {2.5, 0}};

/* Guards against CONFIG: weights were cut to whole numbers, so that a configuration with weights
 * below 1 was not adopted and parts of others got a wrong share, or none. */
START_TEST (a_split_follows_weights_of_any_size)
{
  const double *pair = weights[_i];
  double share = pair[1] / pair[0] == HUGE_VAL ? 1 : pair[1] / pair[0] / (1 + pair[1] / pair[0]);
  int count = 2000;

  put_split (world, 4, pair[0], pair[1]);
  ck_assert_double_eq_tol (count_at_next (world, count), count * share, 1.0);
}
END_TEST

/* Each host sees only a few requests, as in a large fleet. */
START_TEST (hosts_with_few_requests_keep_the_proportions_together)
{
  const int hosts = 400;
  const int requests = 3;
  int at_next = 0;

  for (int i = 0; i < hosts; i++)
    {
      struct world *host
          = world_new_from (&(struct world_options){.incarnation = (uint64_t) i + 1});

      put_split (host, 4, 0.9, 0.1);
      put_servers (host);
      world_advance (host, 4 * WORLD_SECOND);
      at_next += count_at_next (host, requests);
      world_free (host);
    }
  ck_assert_double_eq_tol ((double) at_next / (hosts * requests), 0.1, 0.03);
}
END_TEST

START_TEST (a_split_goes_on_over_versions_that_leave_it_as_it_is)
{
  int at_next = 0;

  for (int version = 4; version < 104; version++)
    {
      put_split (world, version, 0.9, 0.1);
      at_next += count_at_next (world, 7);
    }
  ck_assert_int_ge (at_next, 69);
  ck_assert_int_le (at_next, 71);
}
END_TEST

/* Parts of a configuration that a host can not use, in full or in part. */
static const char *const odd_parts[] = {
    ROUTE ("\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":0.9},"
           "{\"Service\":\"gone\",\"Weight\":0.1}]"),
    ROUTE ("\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":-1}]"),
    ROUTE ("\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":\"1\"}]"),
    ROUTE ("\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":0}]"),
    ROUTE ("\"TrafficSplit\":[7,null,{}]"),
    ROUTE ("\"TrafficSplit\":{}"),
    ROUTE ("\"Service\":\"gone\""),
    ROUTE ("\"Service\":7"),
    ROUTE ("\"Service\":\"stock\",\"HomeRegions\":\"a\""),
    ROUTE ("\"Priority\":1"),
    ROUTE ("\"Service\":\"stock\\u0000\""),
    ROUTE ("\"Service\":\"stock\",\"Attempts\":123456789012345678901234567890"),
    "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"odd\"},\"Spec\":{\"ColdPerS\":-1}},",
    "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":7},\"Spec\":{}},",
    "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"odd\"}},",
    ACCOUNT ("\"RatePerS\":\"many\""),
    ACCOUNT ("\"Burst\":-5"),
    "{\"ResourceKind\":\"Limits\",\"Spec\":{\"MaxHeaderBytes\":-1e300,\"IdleTimeout\":7}},",
    "{\"ResourceKind\":\"Limits\"},",
    "{\"ResourceKind\":\"Riddles\",\"Metadata\":{\"Name\":\"odd\"},\"Spec\":{\"Answer\":42}},",
};

/* Guards against CONFIG: one part that a host could not use kept the rest of the configuration from
 * coming into force, with the keys that it withdraws. */
START_TEST (a_key_is_withdrawn_whatever_else_the_configuration_holds)
{
  g_autoptr (GString) metrics = g_string_new (NULL);
  struct world_call *call;

  put_config_without_key (5, odd_parts[_i]);
  call = world_send_request (world, "/read/1", "key-1");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 401);
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-2")->sends, 1);
  ck_assert_int_eq (world->warnings, 1);
  pl_router_metrics (world->router, metrics);
  ck_assert_ptr_nonnull (strstr (metrics->str, "pomelolatch_configuration_version 5\n"));
  ck_assert_ptr_null (strstr (metrics->str, "pomelolatch_configuration_findings 0\n"));
}
END_TEST

/* A resource of which it is not known what it is, or whose keys, prefix or host can not be read.
 * The request of a caller that it may be about gets no 401 or 404. */
static const struct
{
  const char *part;
  int status_without_key; /* of a request with the key that is withdrawn */
  int status_without_route;
} unplaced_parts[] = {
    {"7,null,[],{},", 503, 503},
    {"{\"Metadata\":{\"Name\":\"odd\"},\"Spec\":{}},", 503, 503},
    {"{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"odd\"}},", 401, 503},
    {"{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"odd\"},\"Spec\":{\"Host\":\"h\"}},",
     401, 503},
    {"{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":7},\"Spec\":{}},", 401, 503},
    {"{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"odd\"}},", 503, 404},
    {"{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"odd\"},\"Spec\":{\"ApiKeys\":[7]}},",
     503, 404},
    {"{\"ResourceKind\":\"Tenants\",\"Spec\":{\"ApiKeys\":[\"key-new\"]}},", 503, 404},
};

START_TEST (what_an_unreadable_part_may_be_about_is_refused_as_not_run)
{
  struct world_call *call;

  put_config_without_key (5, unplaced_parts[_i].part);
  call = world_send_request (world, "/read/1", "key-1");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, unplaced_parts[_i].status_without_key);
  call = world_send_request (world, "/elsewhere/1", "key-2");
  ck_assert_int_eq (call->status, unplaced_parts[_i].status_without_route);
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-2")->sends, 1);
}
END_TEST

/* The only account is unreadable: requests without its key are not let in. */
START_TEST (an_unreadable_account_does_not_open_the_routes)
{
  static const char *const config
      = "{\"Version\":\"r9\",\"Resources\":["
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"read\"},\"Spec\":{\"Host\":\"h\","
        "\"Prefix\":\"/read/\",\"Kind\":\"idempotent\",\"Service\":\"stock\"}},"
        "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"stock\"},\"Spec\":{"
        "\"HealthPath\":\"/health\"}},{\"ResourceKind\":\"Tenants\",\"Metadata\":{}}]}";
  struct world_call *call;

  world_put_row (world, PL_TABLE_CONTROL, "config", config);
  call = world_send_request (world, "/read/1", NULL);
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 503);
}
END_TEST

static const char *const unusable_routes[] = {
    ROUTE ("\"Service\":\"gone\""),
    ROUTE ("\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":-1}]"),
    ROUTE ("\"Service\":\"stock\",\"HomeRegions\":\"a\""),
};

/* Not 404, which callers do not try again, and not by the route of a shorter prefix. */
START_TEST (a_request_on_an_unusable_route_is_refused_as_not_run)
{
  struct world_call *call;

  world_put_config (world, 5, unusable_routes[_i]);
  call = world_send_request (world, "/read/new/1", "key-1");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 503);
  ck_assert_str_eq (call->reason, "unusable-configuration");
  ck_assert_int_gt (call->retry_after_us, 0);
  ck_assert_int_eq (world_send_request (world, "/read/new/1", "key-none")->status, 401);
  world_put_config (world, 6, ROUTE ("\"Service\":\"stock\""));
  ck_assert_int_eq (world_send_request (world, "/read/new/1", "key-1")->sends, 1);
}
END_TEST

START_TEST (an_account_without_a_known_rate_is_refused_as_not_run)
{
  struct world_call *call;

  world_put_config (world, 5, ACCOUNT ("\"RatePerS\":\"many\""));
  call = world_send_request (world, "/read/1", "key-new");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 503);
  ck_assert_str_eq (call->reason, "unusable-configuration");
}
END_TEST

/* In JSON. */
static const char *const unsendable_names[]
    = {"", " ", "a ", "\\ta", "a\\r\\nX-Other: b", "a\\u007f"};

/* Guards against UNASKED: a name that a header cannot carry as it is reached servers as another
 * one, or brought headers of its own. */
START_TEST (an_account_whose_name_no_header_can_carry_is_refused)
{
  g_autofree char *account = g_strdup_printf (
      "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"%s\"},\"Spec\":{\"ApiKeys\":"
      "[\"key-new\"]}},",
      unsendable_names[_i]);
  struct world_call *call;

  world_put_config (world, 5, account);
  call = world_send_request (world, "/read/1", "key-new");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 503);
  ck_assert_str_eq (call->reason, "unusable-configuration");
  ck_assert_int_eq (world->warnings, 1);
}
END_TEST

/* Guards against a server that rejects each request, since it gets another id than its own. */
START_TEST (a_server_whose_id_no_header_can_carry_is_not_used)
{
  static const char *const ids[] = {"", "s 1 ", "s\r\nX-Other: 1", "\ts"};

  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    put_server (world, ids[i], "stock");
  ck_assert_int_eq (world->warnings, (int) G_N_ELEMENTS (ids));
  for (int i = 0; i < 40; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_send_request (world, path, "key-2");

      ck_assert_int_eq (call->sends, 1);
      ck_assert (strcmp (call->server, "s-0") == 0 || strcmp (call->server, "s-1") == 0);
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
}
END_TEST

/* Guards against an address that is cut, and so names another port. */
START_TEST (a_server_with_an_overlong_address_is_not_used)
{
  world_put_row (world, PL_TABLE_SERVERS, "odd",
                 "{\"Address\":\"10.1.0.9:00000000000000000080\",\"born\":1,\"Info\":{\"Service\":"
                 "\"stock\",\"Zone\":\"a-1\",\"Slots\":4},\"Status\":{\"State\":\"ready\","
                 "\"Sequence\":1}}");
  ck_assert_int_eq (world->warnings, 1);
}
END_TEST

/* Guards against a caller whose key is in the configuration and who gets 401. */
START_TEST (an_account_may_have_any_number_of_keys)
{
  g_autoptr (GString) account = g_string_new (
      "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"new\"},\"Spec\":{\"ApiKeys\":[");

  for (int i = 0; i < 1000; i++)
    g_string_append_printf (account, "%s\"key-%d-of-many\"", i > 0 ? "," : "", i);
  g_string_append (account, "]}},");
  world_put_config (world, 5, account->str);
  ck_assert_int_eq (world->warnings, 0);
  for (int i = 0; i < 1000; i += 37)
    {
      g_autofree char *key = g_strdup_printf ("key-%d-of-many", i);
      struct world_call *call = world_send_request (world, "/read/1", key);

      ck_assert_int_eq (call->sends, 1);
      ck_assert_str_eq (call->account, "new");
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
}
END_TEST

/* Guards against parts without requests, and others with more than their share. */
START_TEST (a_split_may_have_any_number_of_parts)
{
  const int parts = 40;
  g_autoptr (GString) extra = g_string_new (NULL);
  g_autoptr (GString) split = g_string_new (NULL);
  int counts[40] = {0};

  for (int i = 0; i < parts; i++)
    {
      g_autofree char *id = g_strdup_printf ("%d", i);
      g_autofree char *service = g_strdup_printf ("part-%d", i);

      g_string_append_printf (extra,
                              "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"%s\"},"
                              "\"Spec\":{\"HealthPath\":\"/health\"}},",
                              service);
      g_string_append_printf (split, "%s{\"Service\":\"%s\",\"Weight\":%d}", i > 0 ? "," : "",
                              service, i % 2 + 1);
      put_server (world, id, service);
    }
  g_string_append_printf (extra, ROUTE ("\"Public\":true,\"TrafficSplit\":[%s]"), split->str);
  world_put_config (world, 5, extra->str);
  for (int i = 0; i < 30 * parts; i++)
    {
      struct world_call *call = world_send_request (world, "/read/new/1", NULL);

      ck_assert_int_eq (call->sends, 1);
      counts[atoi (call->server)]++;
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  for (int i = 0; i < parts; i++)
    ck_assert_int_eq (counts[i], i % 2 == 0 ? 20 : 40);
}
END_TEST

static const char entry_of_unknown_state[]
    = "{\"Address\":\"10.1.0.9:80\",\"Info\":{\"Service\":\"stock\",\"Zone\":\"a-1\"},"
      "\"Status\":{\"State\":\"resting\"}}";
static const char *const unreadable_entries[]
    = {"not json", "[]", "{}", "\xff\xfe", "{\"Address\":7}", entry_of_unknown_state};

/* Guards against a server that is used by an entry that another writer has replaced. */
START_TEST (an_entry_that_can_not_be_read_names_no_server)
{
  struct pl_row rows[] = {{"s-0", unreadable_entries[_i], strlen (unreadable_entries[_i]), 100},
                          {"s-9", NULL, 0, 101}};
  g_autofree char *good = world_make_server ("s-9", "a-1", "ready", 1, 1);

  rows[1].value = good;
  rows[1].length = strlen (good);
  world->version = 101;
  world_feed_rows (world, &(struct pl_rows_event){
                              .table = PL_TABLE_SERVERS, .version = 101, .rows = rows, .count = 2});
  world_advance (world, 4 * WORLD_SECOND);
  ck_assert_int_eq (pl_router_held_version (world->router, PL_TABLE_SERVERS), 101);
  for (int i = 0; i < 40; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_send_request (world, path, "key-2");

      ck_assert_int_eq (call->sends, 1);
      ck_assert_str_ne (call->server, "s-0");
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  put_server (world, "s-0", "stock");
  put_server (world, "s-1", "next");
  world_put_row (world, PL_TABLE_SERVERS, "s-9", NULL);
  ck_assert_str_eq (world_send_request (world, "/read/1", "key-2")->server, "s-0");
}
END_TEST

/* What a Host header and a route have for the same host. */
static const char *const hosts[][2] = {
    {"h", "h"},     {"H", "h"},         {"h:8080", "H"},       {"h.", "h"},
    {"h", "h.:80"}, {"[::1]", "[::1]"}, {"[::1]:80", "[::1]"}, {"[A::1]", "[a::1]:80"},
};

/* Guards against a route that is never found, as its host is written in another way. */
START_TEST (hosts_are_compared_as_host_names)
{
  struct pl_routing *routing = pl_routing_new (1);
  struct pl_findings *findings = pl_findings_new ("test");
  struct pl_route_part part = {.service_name = "stock", .weight = 1};
  struct pl_route_rule route
      = {.name = "r", .host = hosts[_i][1], .prefix = "/a/", .parts = &part, .part_count = 1};
  g_autofree char *host = pl_routing_normalize_host (hosts[_i][0]);

  pl_routing_add_route (routing, &route);
  pl_routing_seal (routing, findings);
  ck_assert_int_eq (pl_routing_find_route (routing, host, "/a/1"), 0);
  ck_assert_int_eq (pl_routing_find_route (routing, "other", "/a/1"), PL_NONE);
  pl_findings_free (findings);
  pl_routing_unref (routing);
}
END_TEST

/* Guards against a load that is too large to be added up, or negative, which makes a busy server
 * look idle. */
START_TEST (a_load_out_of_range_is_no_load)
{
  static const char *const malformed[] = {"",
                                          "3,0",
                                          "-1,0,8",
                                          "3,-2,8",
                                          "3,0,-8",
                                          "2147483647,2147483647,8",
                                          "99999999999,0,8",
                                          "3,0,8x",
                                          "3,0,8,",
                                          "3,0,8,0",
                                          "3,0,8,-5",
                                          "3,0,8,x",
                                          "3,0,8,1e9",
                                          "3,0,8,99999999999",
                                          "3,0,8,100,1",
                                          ",,,"};
  struct pl_load_report report = {0};

  ck_assert (pl_platform_dialect.read_load ("3,1,8", &report));
  ck_assert (report.running == 3 && report.waiting == 1 && report.slots == 8);
  ck_assert_int_eq (report.work_percent, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    ck_assert_msg (!pl_platform_dialect.read_load (malformed[i], &report), "%s", malformed[i]);
  ck_assert_msg (report.running == 3 && report.slots == 8, "a malformed report changed the last");
}
END_TEST

/* Guards against the loss of the whole report where servers add how long work takes. */
START_TEST (a_load_may_tell_how_long_work_takes)
{
  struct pl_load_report report = {0};

  ck_assert (pl_platform_dialect.read_load ("6,2,6,250", &report));
  ck_assert (report.running == 6 && report.waiting == 2 && report.slots == 6);
  ck_assert_int_eq (report.work_percent, 250);
  ck_assert (pl_platform_dialect.read_load ("6, 2, 6, 100", &report));
  ck_assert_int_eq (report.work_percent, 100);
}
END_TEST

/* Guards against a part that gets most of what is admitted, as refusals come in turns and have a
 * place in the sequence too. */
START_TEST (refusals_beyond_a_rate_do_not_shift_a_split)
{
  int at_next = 0;
  int sent = 0;

  world_put_config (world, 5,
                    SERVICE_B ACCOUNT ("\"RatePerS\":50,\"Burst\":10")
                        ROUTE ("\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":1},"
                               "{\"Service\":\"next\",\"Weight\":1}]"));
  for (int i = 0; i < 600; i++)
    {
      struct world_call *call = world_send_request (world, "/read/new/1", "key-new");

      sent += call->sends;
      at_next += call->sends > 0 && call->server[0] == 'n';
      if (call->at_server)
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
      world_advance (world, 10 * WORLD_MS);
    }
  ck_assert_int_gt (sent, 200);
  ck_assert_int_lt (sent, 400);
  ck_assert_int_le (abs (2 * at_next - sent), 2);
}
END_TEST

/* The share of a part that can not be used is refused, not moved to another. */
START_TEST (a_split_keeps_its_proportions_beside_an_unusable_part)
{
  int refused = 0;

  world_put_config (world, 5,
                    ROUTE ("\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":0.7},"
                           "{\"Service\":\"gone\",\"Weight\":0.3}]"));
  for (int i = 0; i < 100; i++)
    {
      struct world_call *call = world_send_request (world, "/read/new/1", "key-1");

      refused += call->answers;
      if (call->answers == 0)
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  ck_assert_int_ge (refused, 29);
  ck_assert_int_le (refused, 31);
}
END_TEST

static const char *const odd_numbers[]
    = {"1e300", "-1e300", "-1", "0", "0.5", "1e-300", "9007199254740993"};

/* No number, in any field, keeps the others or the host from working. */
START_TEST (a_number_of_any_size_is_within_the_range_of_its_field)
{
  g_autofree char *extra = g_strdup_printf (
      "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"new\"},\"Spec\":{\"Host\":\"h\","
      "\"Prefix\":\"/read/new/\",\"Kind\":\"idempotent\",\"Service\":\"next\",\"Attempts\":%1$s,"
      "\"Priority\":%1$s,\"Timeout\":\"%1$ss\",\"TargetLatency\":\"%1$sms\"}},"
      "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"next\"},\"Spec\":{\"HealthPath\":"
      "\"/health\",\"ColdStart\":\"%1$ss\",\"ColdPerS\":%1$s,\"MaxConnections\":%1$s}},"
      "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"new\"},\"Spec\":{\"ApiKeys\":"
      "[\"key-new\"],\"Priority\":%1$s,\"RatePerS\":%1$s,\"Burst\":%1$s}},"
      "{\"ResourceKind\":\"Limits\",\"Spec\":{\"MaxHeaderBytes\":%1$s,\"MaxBodyBytes\":%1$s,"
      "\"IdleTimeout\":\"%1$ss\"}},",
      odd_numbers[_i]);
  g_autofree char *server = g_strdup_printf (
      "{\"Address\":\"10.1.0.9:80\",\"born\":%1$s,\"Info\":{\"Service\":\"stock\",\"Zone\":"
      "\"a-1\",\"Slots\":%1$s},\"Status\":{\"State\":\"ready\",\"Sequence\":%1$s,"
      "\"ColdRemaining\":\"%1$ss\"}}",
      odd_numbers[_i]);

  put_config_without_key (5, extra);
  world_put_row (world, PL_TABLE_SERVERS, "odd", server);
  for (int i = 0; i < 20; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);

      world_send_request (world, "/read/new/1", "key-new");
      ck_assert_int_eq (world_send_request (world, path, "key-2")->sends, i < 8);
    }
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-1")->status, 401);
  world_advance (world, 10 * WORLD_SECOND);
}
END_TEST

static void
compare_relayed (void *data, enum pl_table table, const struct pl_row *row)
{
  const char *text = data;

  ck_assert_int_eq (table, PL_TABLE_CONTROL);
  ck_assert_uint_eq (row->length, strlen (text));
  ck_assert_mem_eq (row->value, text, row->length);
}

/* A peer of another version may be able to use more of it. */
START_TEST (a_configuration_used_in_part_is_relayed_as_it_came)
{
  g_autofree char *text = world_make_config (5, odd_parts[0]);
  bool is_snapshot;

  world_put_row (world, PL_TABLE_CONTROL, "config", text);
  ck_assert_int_eq (pl_router_rows_after (world->router, PL_TABLE_CONTROL, 0, &is_snapshot,
                                          compare_relayed, text),
                    world->version);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "documents");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, a_split_follows_weights_of_any_size, 0, G_N_ELEMENTS (weights));
  tcase_add_test (tcase, hosts_with_few_requests_keep_the_proportions_together);
  tcase_add_test (tcase, a_split_goes_on_over_versions_that_leave_it_as_it_is);
  tcase_add_loop_test (tcase, a_key_is_withdrawn_whatever_else_the_configuration_holds, 0,
                       G_N_ELEMENTS (odd_parts));
  tcase_add_loop_test (tcase, what_an_unreadable_part_may_be_about_is_refused_as_not_run, 0,
                       G_N_ELEMENTS (unplaced_parts));
  tcase_add_test (tcase, an_unreadable_account_does_not_open_the_routes);
  tcase_add_loop_test (tcase, a_request_on_an_unusable_route_is_refused_as_not_run, 0,
                       G_N_ELEMENTS (unusable_routes));
  tcase_add_test (tcase, an_account_without_a_known_rate_is_refused_as_not_run);
  tcase_add_loop_test (tcase, an_account_whose_name_no_header_can_carry_is_refused, 0,
                       G_N_ELEMENTS (unsendable_names));
  tcase_add_test (tcase, a_server_whose_id_no_header_can_carry_is_not_used);
  tcase_add_test (tcase, a_server_with_an_overlong_address_is_not_used);
  tcase_add_test (tcase, an_account_may_have_any_number_of_keys);
  tcase_add_test (tcase, a_split_may_have_any_number_of_parts);
  tcase_add_loop_test (tcase, an_entry_that_can_not_be_read_names_no_server, 0,
                       G_N_ELEMENTS (unreadable_entries));
  tcase_add_loop_test (tcase, hosts_are_compared_as_host_names, 0, G_N_ELEMENTS (hosts));
  tcase_add_test (tcase, a_load_out_of_range_is_no_load);
  tcase_add_test (tcase, a_load_may_tell_how_long_work_takes);
  tcase_add_test (tcase, refusals_beyond_a_rate_do_not_shift_a_split);
  tcase_add_test (tcase, a_split_keeps_its_proportions_beside_an_unusable_part);
  tcase_add_test (tcase, a_configuration_used_in_part_is_relayed_as_it_came);
  tcase_add_loop_test (tcase, a_number_of_any_size_is_within_the_range_of_its_field, 0,
                       G_N_ELEMENTS (odd_numbers));
  return suite_run (suite);
}
