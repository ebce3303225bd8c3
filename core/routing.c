/* Look-up of a request's route and account.
 *
 * Routes are grouped by host name and sorted by descending prefix length within
 * a group, so that the first match is the longest prefix of the path.  API keys
 * are stored as hashes only.
 */
#include "internal/routing.h"
#include "internal/keys.h"
#include "pomelolatch/error.h"

#include <assert.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

static guint
hash_key_hash (gconstpointer key)
{
  guint value;

  memcpy (&value, key, sizeof value);
  return value;
}

static gboolean
key_hashes_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, PL_KEY_HASH_BYTES) == 0;
}

static void
clear_route (gpointer route)
{
  g_free (((struct pl_route_rule *) route)->parts);
}

static void
free_group (gpointer group)
{
  g_array_free (group, TRUE);
}

struct pl_routing *
pl_routing_new (int64_t version)
{
  struct pl_routing *routing = g_new0 (struct pl_routing, 1);

  routing->references = 1;
  routing->version = version;
  routing->texts = g_string_chunk_new (4096);
  routing->routes = g_array_new (FALSE, FALSE, sizeof (struct pl_route_rule));
  g_array_set_clear_func (routing->routes, clear_route);
  routing->services = g_array_new (FALSE, FALSE, sizeof (struct pl_service_rule));
  routing->accounts = g_array_new (FALSE, FALSE, sizeof (struct pl_account_rule));
  routing->keys = g_hash_table_new_full (hash_key_hash, key_hashes_equal, g_free, NULL);
  routing->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_group);
  return routing;
}

struct pl_routing *
pl_routing_ref (struct pl_routing *routing)
{
  routing->references++;
  return routing;
}

void
pl_routing_unref (struct pl_routing *routing)
{
  if (routing == NULL || --routing->references > 0)
    return;
  g_hash_table_destroy (routing->hosts);
  g_hash_table_destroy (routing->keys);
  g_array_free (routing->accounts, TRUE);
  g_array_free (routing->services, TRUE);
  g_array_free (routing->routes, TRUE);
  g_string_chunk_free (routing->texts);
  g_free (routing);
}

static const char *
copy_text (struct pl_routing *routing, const char *text)
{
  return g_string_chunk_insert_const (routing->texts, text != NULL ? text : "");
}

char *
pl_routing_normalize_host (const char *text)
{
  /* The colons of an IPv6 address stand in brackets. */
  size_t address = text[0] == '[' ? strcspn (text, "]") : 0;
  size_t length = address + strcspn (text + address, ":");

  if (length > 0 && text[length - 1] == '.')
    length--;
  return g_ascii_strdown (text, (gssize) length);
}

void
pl_routing_add_route (struct pl_routing *routing, const struct pl_route_rule *route)
{
  struct pl_route_rule copy = *route;
  g_autofree char *host = pl_routing_normalize_host (route->host);

  copy.name = copy_text (routing, route->name);
  copy.host = copy_text (routing, host);
  copy.prefix = copy_text (routing, route->prefix);
  copy.parts = g_memdup2 (route->parts, (gsize) route->part_count * sizeof *route->parts);
  for (int i = 0; i < copy.part_count; i++)
    copy.parts[i].service_name = copy_text (routing, route->parts[i].service_name);
  g_array_append_val (routing->routes, copy);
}

void
pl_routing_add_service (struct pl_routing *routing, const struct pl_service_rule *service)
{
  struct pl_service_rule copy = *service;

  copy.name = copy_text (routing, service->name);
  copy.health_path = copy_text (routing, service->health_path);
  g_array_append_val (routing->services, copy);
}

void
pl_routing_add_account (struct pl_routing *routing, const struct pl_account_rule *account,
                        const char *const *keys)
{
  struct pl_account_rule copy = *account;

  copy.name = copy_text (routing, account->name);
  copy.id = pl_id_of ("accounts", account->name);
  g_array_append_val (routing->accounts, copy);
  for (; keys != NULL && *keys != NULL; keys++)
    {
      uint8_t *hash = g_malloc (PL_KEY_HASH_BYTES);

      pl_key_hash (*keys, strlen (*keys), hash);
      g_hash_table_insert (routing->keys, hash, GINT_TO_POINTER ((int) routing->accounts->len));
    }
}

static gint
by_longest_prefix (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct pl_routing *routing = data;
  size_t length_a = strlen (PL_RULE_ROUTE (routing, *(const int *) a)->prefix);
  size_t length_b = strlen (PL_RULE_ROUTE (routing, *(const int *) b)->prefix);

  return (length_a < length_b) - (length_a > length_b);
}

/* Scales the weights of ROUTE so that the largest is at least 0.5 and below 1: their sum is finite
 * then.  A power of two keeps the proportions exactly.  Returns false when all weights are 0. */
static bool
scale_weights (struct pl_route_rule *route)
{
  double largest = 0;
  int exponent;

  for (int i = 0; i < route->part_count; i++)
    {
      assert (isfinite (route->parts[i].weight) && route->parts[i].weight >= 0);
      largest = fmax (largest, route->parts[i].weight);
    }
  frexp (largest, &exponent);
  for (int i = 0; i < route->part_count; i++)
    route->parts[i].weight = ldexp (route->parts[i].weight, -exponent);
  return largest > 0;
}

static uint64_t
hash_split (const struct pl_route_rule *route)
{
  uint64_t hash = 0;

  for (int i = 0; i < route->part_count; i++)
    {
      const struct pl_route_part *part = &route->parts[i];

      hash = XXH3_64bits_withSeed (part->service_name, strlen (part->service_name), hash);
      hash = XXH3_64bits_withSeed (&part->weight, sizeof part->weight, hash);
    }
  return hash;
}

static void
seal_route (struct pl_routing *routing, struct pl_route_rule *route, struct pl_findings *findings)
{
  const struct pl_location no_location = {0, 0};

  if (!scale_weights (route) && !route->is_unusable)
    {
      pl_findings_add (findings, no_location, "route '%s' has no service with a weight above 0",
                       route->name);
      route->is_unusable = true;
    }
  for (int i = 0; i < route->part_count; i++)
    {
      struct pl_route_part *part = &route->parts[i];

      part->service = pl_routing_find_service (routing, part->service_name);
      if (part->service == PL_NONE)
        pl_findings_add (findings, no_location, "route '%s' refers to unknown service '%s'",
                         route->name, part->service_name);
    }
  route->split = hash_split (route);
}

static void
group_route (struct pl_routing *routing, int index)
{
  const char *host = PL_RULE_ROUTE (routing, index)->host;
  GArray *group = g_hash_table_lookup (routing->hosts, host);

  if (group == NULL)
    {
      group = g_array_new (FALSE, FALSE, sizeof (int));
      g_hash_table_insert (routing->hosts, (gpointer) host, group);
    }
  g_array_append_val (group, index);
}

void
pl_routing_seal (struct pl_routing *routing, struct pl_findings *findings)
{
  GHashTableIter iter;
  gpointer group;

  for (guint i = 0; i < routing->routes->len; i++)
    {
      seal_route (routing, PL_RULE_ROUTE (routing, i), findings);
      group_route (routing, (int) i);
    }
  g_hash_table_iter_init (&iter, routing->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &group))
    g_array_sort_with_data (group, by_longest_prefix, routing);
  routing->findings = (int) pl_findings_count (findings);
}

int
pl_routing_find_route (const struct pl_routing *routing, const char *host, const char *path)
{
  const GArray *group = g_hash_table_lookup (routing->hosts, host);

  for (guint i = 0; group != NULL && i < group->len; i++)
    {
      int index = g_array_index (group, int, i);

      if (g_str_has_prefix (path, PL_RULE_ROUTE (routing, index)->prefix))
        return index;
    }
  return PL_NONE;
}

int
pl_routing_find_service (const struct pl_routing *routing, const char *name)
{
  for (guint i = 0; i < routing->services->len; i++)
    if (strcmp (PL_RULE_SERVICE (routing, i)->name, name) == 0)
      return (int) i;
  return PL_NONE;
}

int
pl_routing_find_account (const struct pl_routing *routing, const uint8_t *key_hash)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (routing->keys, key_hash)) - 1;
}

bool
pl_routing_needs_key (const struct pl_routing *routing, const struct pl_route_rule *route)
{
  return !route->open && (routing->accounts->len > 0 || routing->lacks_accounts);
}
