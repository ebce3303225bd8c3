/* Tests what is in force after series of random configurations against a model.
 *
 *   test_document_fuzz [FIRST COUNT]
 *
 * A generator makes configurations within what the platform allows (names of any length and alike
 * but for one byte, numbers of any size, any number of keys and parts, in any order, with unknown
 * fields and kinds) and with parts that make no sense.  It writes each into a document and into a
 * model, which says for any request what the newest document permits.  The model shares no code
 * with the product and looks everything up by brute force.
 *
 * A series that fails is shrunk: versions are left out for as long as it still fails.
 */
#include "router_world.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS_IN_CI 60
#define VERSIONS 10
#define REQUESTS 40 /* after each version */
#define SERVICES 4
#define SERVERS 2 /* of each service */
#define ACCOUNTS 4
#define KEYS 12
#define HOSTS 3
#define PREFIXES 5
#define ROUTES_MAX 6
#define PARTS_MAX 12

struct random
{
  uint64_t state;
};

static uint32_t
below (struct random *random, uint32_t limit)
{
  random->state = random->state * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
  return (uint32_t) (random->state >> 33) % limit;
}

static bool
one_in (struct random *random, uint32_t limit)
{
  return below (random, limit) == 0;
}

/* How the requests of all series were handled. */
static struct
{
  uint32_t served;
  uint32_t refused[600]; /* by status */
} totals;

/* Names are the same in all versions of a series. */
struct names
{
  char *services[SERVICES];
  char *servers[SERVICES][SERVERS];
  char *accounts[ACCOUNTS];
  char *keys[KEYS];
  char *hosts[HOSTS];
};

static const char *const prefixes[PREFIXES] = {"/", "/a/", "/a/b/", "/a/b/c/", "/z/"};
static const char *const paths[] = {"/", "/a/", "/a/b/1", "/a/b/c/2", "/ab", "/z/y", "/a/c"};

/* Returns a text that ends with INDEX; all of one call of make_names() with the same style differ
 * in the last byte only. */
static char *
make_name (uint32_t style, int bytes_max, int index)
{
  static const int lengths[] = {1, 12, 63, 64, 65, 128, 199, 200, 1000, 3000};
  int length = MIN (lengths[style % G_N_ELEMENTS (lengths)], bytes_max);
  const char *odd = style % 3 == 0 && length > 12 ? "\xc3\xa9 \"\\/{}<&" : "";
  g_autofree char *rest = g_strnfill ((gsize) length - strlen (odd) - 1, 'n');

  return g_strdup_printf ("%s%s%c", odd, rest, 'A' + index);
}

static void
make_names (struct names *names, struct random *random)
{
  const int key_bytes_max = 200; /* of a row */
  const int unbounded = 3000;
  uint32_t styles[5];

  for (size_t i = 0; i < G_N_ELEMENTS (styles); i++)
    styles[i] = below (random, 30);
  for (int i = 0; i < SERVICES; i++)
    {
      names->services[i] = make_name (styles[0], unbounded, i);
      for (int j = 0; j < SERVERS; j++)
        names->servers[i][j] = make_name (styles[1], key_bytes_max, i * SERVERS + j);
    }
  for (int i = 0; i < ACCOUNTS; i++)
    names->accounts[i] = make_name (styles[2], unbounded, i);
  for (int i = 0; i < KEYS; i++)
    names->keys[i] = make_name (styles[3], unbounded, i);
  for (int i = 0; i < HOSTS; i++)
    names->hosts[i] = g_strdup_printf ("host-%d.example", i);
}

static void
free_names (struct names *names)
{
  for (int i = 0; i < SERVICES; i++)
    {
      g_free (names->services[i]);
      for (int j = 0; j < SERVERS; j++)
        g_free (names->servers[i][j]);
    }
  for (int i = 0; i < ACCOUNTS; i++)
    g_free (names->accounts[i]);
  for (int i = 0; i < KEYS; i++)
    g_free (names->keys[i]);
  for (int i = 0; i < HOSTS; i++)
    g_free (names->hosts[i]);
}

/* What a document says. */
struct model_route
{
  int host;
  const char *prefix;
  bool is_public;
  bool is_unusable;
  bool may_refuse;        /* a part of its split can not be used */
  bool may_use[SERVICES]; /* with a share above 0 */
};

struct model_account
{
  bool is_listed;
  bool is_unusable;
};

struct model
{
  int route_count;
  struct model_route routes[ROUTES_MAX];
  struct model_account accounts[ACCOUNTS];
  int holders[KEYS]; /* account + 1; 0: none */
  bool lists_service[SERVICES];
  bool lacks_routes;
  bool lacks_accounts;
};

/* Fields that no page names, or that have no effect here. */
static void
add_noise (json_t *object, struct random *random)
{
  if (one_in (random, 3))
    json_object_set_new (object, "Later", json_pack ("{s:[i,n]}", "field", 1));
  if (one_in (random, 3))
    json_object_set_new (object, "Priority", json_integer (below (random, 9)));
  if (one_in (random, 4))
    json_object_set_new (object, "HomeRegions", one_in (random, 2) ? json_null () : json_array ());
}

static json_t *
make_resource (const char *kind, const char *name, json_t *spec, struct random *random)
{
  json_t *resource = json_pack ("{s:s,s:{s:s},s:o}", "ResourceKind", kind, "Metadata", "Name", name,
                                "Spec", spec);

  add_noise (resource, random);
  add_noise (json_object_get (resource, "Metadata"), random);
  return resource;
}

static json_t *
make_number (struct random *random)
{
  static const double numbers[]
      = {0, 1, 2, 7, 0.5, 1e-9, 1e9, 1e19, 1e300, 9007199254740993.0, -1, -1e300};

  return json_real (numbers[below (random, G_N_ELEMENTS (numbers))]);
}

static void
add_services (json_t *resources, struct model *model, const struct names *names,
              struct random *random)
{
  for (int i = 0; i < SERVICES; i++)
    {
      json_t *spec = json_pack ("{s:s}", "HealthPath", "/health");

      model->lists_service[i] = !one_in (random, 8);
      if (one_in (random, 4))
        json_object_set_new (spec, "MaxConnections", make_number (random));
      add_noise (spec, random);
      if (model->lists_service[i])
        json_array_append_new (resources,
                               make_resource ("Services", names->services[i], spec, random));
      else
        json_decref (spec);
    }
}

static double
choose_weight (struct random *random)
{
  static const double weights[] = {90, 10, 0.9, 0.1, 0.6, 0.4, 1.5, 0.5, 0, 1e-300, 1e308, 3};

  return weights[below (random, G_N_ELEMENTS (weights))];
}

/* Fills SPEC and ROUTE with a split.  A share that is far below the others' may not be seen. */
static void
add_split (json_t *spec, struct model *model, struct model_route *route, const struct names *names,
           struct random *random)
{
  json_t *split = json_array ();
  int count = 1 + (int) below (random, PARTS_MAX);
  bool has_weight = false;

  for (int i = 0; i < count; i++)
    {
      uint32_t service = below (random, SERVICES + 1);
      double weight = choose_weight (random);
      bool is_known = service < SERVICES && model->lists_service[service];
      json_t *part
          = json_pack ("{s:s,s:f}", "Service",
                       service < SERVICES ? names->services[service] : "none", "Weight", weight);

      if (one_in (random, 20))
        {
          json_object_set_new (part, "Weight",
                               one_in (random, 2) ? json_string ("1") : json_real (-1));
          weight = 0;
        }
      add_noise (part, random);
      json_array_append_new (split, part);
      has_weight = has_weight || weight > 0;
      if (weight <= 0)
        continue;
      if (is_known)
        route->may_use[service] = true;
      else
        route->may_refuse = true;
    }
  json_object_set_new (spec, "TrafficSplit", split);
  route->is_unusable = !has_weight;
}

static void
add_target (json_t *spec, struct model *model, struct model_route *route, const struct names *names,
            struct random *random)
{
  uint32_t service = below (random, SERVICES);

  if (one_in (random, 2))
    {
      add_split (spec, model, route, names, random);
      return;
    }
  json_object_set_new (spec, "Service", json_string (names->services[service]));
  route->may_use[service] = model->lists_service[service];
  route->is_unusable = !model->lists_service[service];
}

/* Makes one part of a route that can be read into one that can not. */
static void
damage_route (json_t *spec, struct model *model, struct model_route *route, struct random *random)
{
  switch (below (random, 4))
    {
    case 0:
      json_object_set_new (spec, one_in (random, 2) ? "Host" : "Prefix",
                           one_in (random, 2) ? json_null () : json_integer (7));
      model->lacks_routes = true;
      model->route_count--;
      break;
    case 1:
      json_object_set_new (spec, "HomeRegions", json_string ("a"));
      route->is_unusable = true;
      break;
    case 2:
      json_object_set_new (spec, "Service", json_integer (7));
      json_object_del (spec, "TrafficSplit");
      route->is_unusable = true;
      break;
    default:
      json_object_set_new (spec, "TrafficSplit", json_string ("even"));
      route->is_unusable = true;
      break;
    }
}

static bool
has_prefix (const struct model *model, int host, const char *prefix)
{
  for (int i = 0; i < model->route_count; i++)
    if (model->routes[i].host == host && strcmp (model->routes[i].prefix, prefix) == 0)
      return true;
  return false;
}

static void
add_route (json_t *resources, struct model *model, const struct names *names, struct random *random)
{
  struct model_route *route = &model->routes[model->route_count];
  g_autofree char *name = make_name (below (random, 30), 3000, (int) below (random, 26));
  g_autofree char *upper = NULL;
  json_t *spec;

  *route = (struct model_route){.host = (int) below (random, HOSTS),
                                .prefix = prefixes[below (random, PREFIXES)],
                                .is_public = one_in (random, 4)};
  if (has_prefix (model, route->host, route->prefix))
    return;
  upper = g_ascii_strup (names->hosts[route->host], -1);
  spec = json_pack ("{s:s,s:s,s:s,s:b}", "Host",
                    one_in (random, 2) ? upper : names->hosts[route->host], "Prefix", route->prefix,
                    "Kind", "idempotent", "Public", route->is_public);
  if (one_in (random, 4))
    json_object_set_new (spec, "Attempts", make_number (random));
  model->route_count++;
  add_target (spec, model, route, names, random);
  if (one_in (random, 10))
    damage_route (spec, model, route, random);
  json_array_append_new (resources, make_resource ("Routes", name, spec, random));
}

static void
add_account (json_t *resources, struct model *model, int account, const struct names *names,
             struct random *random)
{
  struct model_account *known = &model->accounts[account];
  json_t *keys = json_array ();
  json_t *spec = json_pack ("{s:o}", "ApiKeys", keys);
  json_t *resource;
  int others = one_in (random, 3) ? 100 : 0;

  known->is_listed = true;
  for (int i = 0; i < others; i++)
    {
      g_autofree char *key = g_strdup_printf ("key %d of %d", i, account);

      json_array_append_new (keys, json_string (key));
    }
  for (int i = 0; i < KEYS; i++)
    if (model->holders[i] == 0 && one_in (random, 4))
      {
        model->holders[i] = account + 1;
        json_array_append_new (keys, json_string (names->keys[i]));
      }
  if (one_in (random, 10))
    {
      json_object_set_new (spec, one_in (random, 2) ? "RatePerS" : "Burst",
                           one_in (random, 2) ? json_string ("7") : json_real (-2));
      known->is_unusable = true;
    }
  add_noise (spec, random);
  json_object_del (spec, "Priority");
  resource = make_resource ("Tenants", names->accounts[account], spec, random);
  if (one_in (random, 12))
    {
      json_object_set_new (resource, "Metadata", json_object ());
      known->is_listed = false;
      model->lacks_accounts = true;
      for (int i = 0; i < KEYS; i++)
        if (model->holders[i] == account + 1)
          model->holders[i] = 0;
    }
  json_array_append_new (resources, resource);
}

static void
add_others (json_t *resources, struct random *random)
{
  json_t *limits = json_object ();

  if (one_in (random, 4))
    json_array_append_new (resources,
                           make_resource ("Riddles", "odd", json_string ("what"), random));
  if (one_in (random, 2))
    json_object_set_new (limits, "MaxHeaderBytes", make_number (random));
  if (one_in (random, 2))
    json_object_set_new (limits, "IdleTimeout", json_string ("1e300s"));
  json_array_append_new (resources, make_resource ("Limits", "limits", limits, random));
}

static void
shuffle (json_t *list, struct random *random)
{
  for (size_t i = json_array_size (list); i > 1; i--)
    {
      size_t j = below (random, (uint32_t) i);
      json_t *item = json_incref (json_array_get (list, i - 1));

      json_array_set (list, i - 1, json_array_get (list, j));
      json_array_set_new (list, j, item);
    }
}

/* Returns a document and fills MODEL with what it says. */
static char *
make_document (struct model *model, int version, const struct names *names, struct random *random)
{
  g_autofree char *tag = g_strdup_printf ("r%d", version);
  json_t *resources = json_array ();
  json_t *document = json_pack ("{s:s,s:o}", "Version", tag, "Resources", resources);
  int routes = (int) below (random, ROUTES_MAX + 1);
  char *text;

  *model = (struct model){0};
  add_services (resources, model, names, random);
  for (int i = 0; i < routes; i++)
    add_route (resources, model, names, random);
  for (int i = 0; i < ACCOUNTS; i++)
    if (!one_in (random, 4))
      add_account (resources, model, i, names, random);
  add_others (resources, random);
  add_noise (document, random);
  shuffle (resources, random);
  text = json_dumps (document, 0);
  json_decref (document);
  return text;
}

static const struct model_route *
find_route (const struct model *model, int host, const char *path)
{
  const struct model_route *best = NULL;

  for (int i = 0; i < model->route_count; i++)
    {
      const struct model_route *route = &model->routes[i];

      if (route->host == host && g_str_has_prefix (path, route->prefix)
          && (best == NULL || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  return best;
}

static bool
has_accounts (const struct model *model)
{
  bool found = model->lacks_accounts;

  for (int i = 0; i < ACCOUNTS; i++)
    found = found || model->accounts[i].is_listed;
  return found;
}

static int
service_of (const struct names *names, const char *server)
{
  for (int i = 0; i < SERVICES; i++)
    for (int j = 0; j < SERVERS; j++)
      if (strcmp (names->servers[i][j], server) == 0)
        return i;
  return PL_NONE;
}

/* Returns whether CALL, with KEY (PL_NONE: none), was handled as MODEL permits. */
static bool
is_permitted (const struct model *model, const struct names *names, const struct world_call *call,
              int host, const char *path, int key)
{
  const struct model_route *route = find_route (model, host, path);
  int holder = key != PL_NONE ? model->holders[key] - 1 : PL_NONE;
  bool is_unusable;
  int service;

  if (route == NULL)
    return call->status == (model->lacks_routes ? 503 : 404);
  if (holder < 0 && !route->is_public && has_accounts (model))
    return call->status == (model->lacks_accounts ? 503 : 401);
  is_unusable = route->is_unusable || (holder >= 0 && model->accounts[holder].is_unusable);
  if (call->answers > 0)
    return call->status == 503 && (is_unusable || route->may_refuse)
           && strcmp (call->reason, "unusable-configuration") == 0;
  service = service_of (names, call->server);
  return !is_unusable && service != PL_NONE && route->may_use[service]
         && strcmp (call->account, holder >= 0 ? names->accounts[holder] : "") == 0;
}

static void
put_servers (struct world *world, const struct names *names)
{
  for (int i = 0; i < SERVICES; i++)
    for (int j = 0; j < SERVERS; j++)
      {
        g_autofree char *address = g_strdup_printf ("10.1.%d.%d:80", i, j + 1);
        json_t *entry = json_pack ("{s:s,s:i,s:{s:s,s:s,s:i},s:{s:s,s:i}}", "Address", address,
                                   "born", 1, "Info", "Service", names->services[i], "Zone", "a-1",
                                   "Slots", 4, "Status", "State", "ready", "Sequence", 1);
        g_autofree char *text = json_dumps (entry, 0);

        world_put_row (world, PL_TABLE_SERVERS, names->servers[i][j], text);
        json_decref (entry);
      }
}

/* Sends random requests and returns whether all were handled as MODEL permits. */
static bool
check_requests (struct world *world, const struct model *model, const struct names *names,
                struct random *random, GString *report)
{
  for (int i = 0; i < REQUESTS; i++)
    {
      int host = (int) below (random, HOSTS);
      const char *path = paths[below (random, G_N_ELEMENTS (paths))];
      int key = (int) below (random, KEYS + 1) - 1;
      struct world_call *call;

      world->host = names->hosts[host];
      call = world_send_request (world, path, key >= 0 ? names->keys[key] : NULL);
      if (!is_permitted (model, names, call, host, path, key))
        {
          g_string_append_printf (report,
                                  "host %s, path %s, key %d: answers %d, status %d, reason %s, "
                                  "server '%.20s', account '%.20s'\n",
                                  world->host, path, key, call->answers, call->status,
                                  call->reason != NULL ? call->reason : "", call->server,
                                  call->account);
          return false;
        }
      totals.served += call->at_server;
      totals.refused[call->status]++;
      if (call->at_server)
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
      world_advance (world, 20 * WORLD_MS);
    }
  return true;
}

/* Plays the versions of SEED whose bits are set in VERSIONS_USED.  Returns whether all requests
 * were handled as they should be. */
static bool
play (uint32_t seed, uint32_t versions_used, GString *report)
{
  struct random random = {seed * UINT64_C (2654435761) + 1};
  struct names names;
  struct world *world = world_new ();
  bool passed = true;

  make_names (&names, &random);
  put_servers (world, &names);
  world_advance (world, 4 * WORLD_SECOND);
  for (int i = 0; passed && i < VERSIONS; i++)
    {
      struct random own = {(seed + UINT64_C (1)) * 1000003 + (uint64_t) i};
      struct model model;
      g_autofree char *text = make_document (&model, 3 + i, &names, &own);

      if ((versions_used >> i & 1) == 0)
        continue;
      world_put_row (world, PL_TABLE_CONTROL, "config", text);
      passed = check_requests (world, &model, &names, &own, report);
      if (!passed)
        g_string_append_printf (report, "version r%d: %s\n", 3 + i, text);
    }
  world_free (world);
  free_names (&names);
  return passed;
}

/* Leaves out versions for as long as SEED still fails, and prints what is left. */
static void
print_shrunk (uint32_t seed)
{
  g_autoptr (GString) report = g_string_new (NULL);
  uint32_t used = (1U << VERSIONS) - 1;

  for (int i = 0; i < VERSIONS; i++)
    {
      g_autoptr (GString) ignored = g_string_new (NULL);

      if (!play (seed, used & ~(1U << i), ignored))
        used &= ~(1U << i);
    }
  play (seed, used, report);
  printf ("FAILED: seed %u, versions 0x%x\n%s", seed, used, report->str);
}

int
main (int argc, char **argv)
{
  uint32_t first = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  uint32_t count = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : SEEDS_IN_CI;
  uint32_t failed = 0;

  for (uint32_t seed = first; seed < first + count; seed++)
    {
      g_autoptr (GString) report = g_string_new (NULL);

      printf ("seed %u\n", seed);
      fflush (stdout);
      if (play (seed, (1U << VERSIONS) - 1, report))
        continue;
      failed++;
      print_shrunk (seed);
    }
  /* Without enough requests of each kind the checks above would be vacuous. */
  printf ("%u served, %u 401, %u 404, %u 503\n", totals.served, totals.refused[401],
          totals.refused[404], totals.refused[503]);
  assert (totals.served > 40 * count && totals.refused[401] > 20 * count
          && totals.refused[404] > 20 * count && totals.refused[503] > 10 * count);
  printf ("%u%%: Checks: %u, Failures: %u, Errors: 0\n", 100 * (count - failed) / MAX (count, 1),
          count, failed);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
