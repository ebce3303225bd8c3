/* Compiles a configuration document into a snapshot.
 *
 * Names are resolved to indices here, once, so that the reducer compares only
 * integers.  Strings in a snapshot point into its document, to which the snapshot
 * holds a reference.
 */
#include "pomelolatch/config.h"

#include <arpa/inet.h>
#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define DEFAULT_ANSWER_BYTES 16384
#define DEFAULT_DEADLINE_MS 10000
#define DEFAULT_SILENCE_MS 2000
#define DEFAULT_STALE_LIMIT_MS 3600000
#define US_PER_MS 1000

uint64_t
pl_id_of (const char *kind, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name), XXH3_64bits (kind, strlen (kind)));
}

static const char *
get_string (const json_t *entry, const char *field)
{
  return json_string_value (json_object_get (entry, field));
}

static int64_t
get_integer (const json_t *entry, const char *field, int64_t fallback)
{
  json_t *value = json_object_get (entry, field);

  return value != NULL ? json_integer_value (value) : fallback;
}

/* Returns the index of the entry of KIND that FIELD of ENTRY names, or PL_NONE. */
static int
find_index (GHashTable *indices, const char *kind, const json_t *entry, const char *field)
{
  const char *name = get_string (entry, field);
  gpointer value;
  g_autofree char *key = NULL;

  if (name == NULL)
    return PL_NONE;
  key = g_strdup_printf ("%s/%s", kind, name);
  if (!g_hash_table_lookup_extended (indices, key, NULL, &value))
    return PL_NONE;
  return GPOINTER_TO_INT (value);
}

static GHashTable *
index_names (const json_t *document)
{
  GHashTable *indices = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const char *kind;
  json_t *entries;

  json_object_foreach ((json_t *) document, kind, entries)
  {
    const char *name;
    json_t *entry;
    int next = 0;

    json_object_foreach (entries, name, entry) g_hash_table_insert (
        indices, g_strdup_printf ("%s/%s", kind, name), GINT_TO_POINTER (next++));
  }
  return indices;
}

static void
add_topology (struct pl_config *config, GHashTable *indices)
{
  const char *name;
  json_t *entry;

  json_object_foreach (json_object_get (config->document, "regions"), name, entry)
      g_ptr_array_add (config->region_names, (gpointer) name);
  json_object_foreach (json_object_get (config->document, "domains"), name, entry)
  {
    struct pl_domain_config domain
        = {name, find_index (indices, "regions", entry, "region"), false};

    g_array_append_val (config->domains, domain);
  }
  json_object_foreach (json_object_get (config->document, "links"), name, entry)
  {
    struct pl_link_config link = {
        name, pl_id_of ("links", name), find_index (indices, "regions", entry, "from"),
        find_index (indices, "regions", entry, "to"), get_integer (entry, "bytes_per_second", 1)};

    g_array_append_val (config->links, link);
  }
  json_object_foreach (json_object_get (config->document, "entry_hosts"), name, entry)
  {
    struct pl_host_config host = {name,
                                  pl_id_of ("entry_hosts", name),
                                  find_index (indices, "domains", entry, "domain"),
                                  get_string (entry, "caller"),
                                  get_string (entry, "peer"),
                                  get_string (entry, "forward"),
                                  false};

    g_array_append_val (config->hosts, host);
  }
}

static void
add_services (struct pl_config *config, GHashTable *indices)
{
  const char *name;
  json_t *entry;

  json_object_foreach (json_object_get (config->document, "services"), name, entry)
  {
    struct pl_service_config service = {name, pl_id_of ("services", name)};

    g_array_append_val (config->services, service);
  }
  json_object_foreach (json_object_get (config->document, "servers"), name, entry)
  {
    struct pl_server_config server = {name,
                                      pl_id_of ("servers", name),
                                      find_index (indices, "services", entry, "service"),
                                      find_index (indices, "domains", entry, "domain"),
                                      get_string (entry, "address"),
                                      (int) get_integer (entry, "slots", 1),
                                      false};

    g_array_append_val (config->servers, server);
  }
  json_object_foreach (json_object_get (config->document, "routes"), name, entry)
  {
    struct pl_route_config route = {
        name,
        get_string (entry, "path"),
        find_index (indices, "services", entry, "service"),
        json_is_true (json_object_get (entry, "repeatable")),
        json_is_true (json_object_get (entry, "open")),
        get_integer (entry, "answer_bytes", DEFAULT_ANSWER_BYTES),
        get_integer (entry, "deadline_ms", DEFAULT_DEADLINE_MS) * US_PER_MS,
        get_integer (entry, "silence_ms", DEFAULT_SILENCE_MS) * US_PER_MS,
        get_integer (entry, "stale_limit_ms", DEFAULT_STALE_LIMIT_MS) * US_PER_MS,
    };

    g_array_append_val (config->routes, route);
  }
}

static void
add_accounts (struct pl_config *config, GHashTable *indices)
{
  const char *name;
  json_t *entry;

  json_object_foreach (json_object_get (config->document, "accounts"), name, entry)
  {
    struct pl_account_config account
        = {name, pl_id_of ("accounts", name), get_integer (entry, "rate", 1),
           get_integer (entry, "burst", 1)};

    g_array_append_val (config->accounts, account);
  }
  json_object_foreach (json_object_get (config->document, "keys"), name, entry)
  {
    struct pl_key_config key = {.account = find_index (indices, "accounts", entry, "account")};
    const char *hash = get_string (entry, "hash");

    if (sodium_hex2bin (key.hash, sizeof key.hash, hash, strlen (hash), NULL, NULL, NULL) == 0)
      g_array_append_val (config->keys, key);
  }
}

static void
add_drains (struct pl_config *config, GHashTable *indices)
{
  const char *name;
  json_t *entry;

  json_object_foreach (json_object_get (config->document, "drains"), name, entry)
  {
    int server = find_index (indices, "servers", entry, "server");
    int domain = find_index (indices, "domains", entry, "domain");
    int host = find_index (indices, "entry_hosts", entry, "entry_host");

    if (server != PL_NONE)
      PL_SERVER (config, server)->draining = true;
    if (domain != PL_NONE)
      PL_DOMAIN (config, domain)->draining = true;
    if (host != PL_NONE)
      PL_HOST (config, host)->draining = true;
  }
  for (guint i = 0; i < config->servers->len; i++)
    if (PL_DOMAIN (config, PL_SERVER (config, i)->domain)->draining)
      PL_SERVER (config, i)->draining = true;
}

static void
add_blocks (struct pl_config *config, GHashTable *indices)
{
  const char *name;
  json_t *entry;

  json_object_foreach (json_object_get (config->document, "blocks"), name, entry)
  {
    struct pl_block_config block = {0};
    g_auto (GStrv) parts = g_strsplit (get_string (entry, "prefix"), "/", 2);
    struct in_addr address = {0};

    inet_pton (AF_INET, parts[0], &address);
    block.address = ntohl (address.s_addr);
    block.bits = (uint8_t) atoi (parts[1]);
    block.domain = (uint16_t) find_index (indices, "domains", entry, "domain");
    g_array_append_val (config->blocks, block);
  }
}

static guint
hash_key_hash (gconstpointer data)
{
  guint hash;

  memcpy (&hash, data, sizeof hash);
  return hash;
}

static gboolean
key_hashes_equal (gconstpointer a, gconstpointer b)
{
  return sodium_memcmp (a, b, PL_KEY_HASH_BYTES) == 0;
}

struct pl_config *
pl_config_new (json_t *document, int64_t version)
{
  struct pl_config *config = g_new0 (struct pl_config, 1);
  GHashTable *indices = index_names (document);

  config->references = 1;
  config->version = version;
  config->document = json_incref (document);
  config->region_names = g_ptr_array_new ();
  config->domains = g_array_new (FALSE, TRUE, sizeof (struct pl_domain_config));
  config->links = g_array_new (FALSE, TRUE, sizeof (struct pl_link_config));
  config->hosts = g_array_new (FALSE, TRUE, sizeof (struct pl_host_config));
  config->services = g_array_new (FALSE, TRUE, sizeof (struct pl_service_config));
  config->servers = g_array_new (FALSE, TRUE, sizeof (struct pl_server_config));
  config->routes = g_array_new (FALSE, TRUE, sizeof (struct pl_route_config));
  config->accounts = g_array_new (FALSE, TRUE, sizeof (struct pl_account_config));
  config->keys = g_array_new (FALSE, TRUE, sizeof (struct pl_key_config));
  config->blocks = g_array_new (FALSE, TRUE, sizeof (struct pl_block_config));
  add_topology (config, indices);
  add_services (config, indices);
  add_accounts (config, indices);
  add_drains (config, indices);
  add_blocks (config, indices);
  config->key_index = g_hash_table_new (hash_key_hash, key_hashes_equal);
  for (guint i = 0; i < config->keys->len; i++)
    g_hash_table_add (config->key_index, &g_array_index (config->keys, struct pl_key_config, i));
  g_hash_table_destroy (indices);
  return config;
}

struct pl_config *
pl_config_ref (struct pl_config *config)
{
  g_atomic_int_inc (&config->references);
  return config;
}

void
pl_config_unref (struct pl_config *config)
{
  if (config == NULL || !g_atomic_int_dec_and_test (&config->references))
    return;
  g_hash_table_destroy (config->key_index);
  g_ptr_array_free (config->region_names, TRUE);
  g_array_free (config->domains, TRUE);
  g_array_free (config->links, TRUE);
  g_array_free (config->hosts, TRUE);
  g_array_free (config->services, TRUE);
  g_array_free (config->servers, TRUE);
  g_array_free (config->routes, TRUE);
  g_array_free (config->accounts, TRUE);
  g_array_free (config->keys, TRUE);
  g_array_free (config->blocks, TRUE);
  json_decref (config->document);
  g_free (config);
}

int
pl_config_find_host (const struct pl_config *config, uint64_t id)
{
  for (guint i = 0; i < config->hosts->len; i++)
    if (PL_HOST (config, i)->id == id)
      return (int) i;
  return PL_NONE;
}

/* Returns the route whose path is the longest prefix of PATH that ends at a segment boundary. */
int
pl_config_find_route (const struct pl_config *config, const char *path)
{
  size_t longest = 0;
  int found = PL_NONE;

  for (guint i = 0; i < config->routes->len; i++)
    {
      const char *candidate = PL_ROUTE (config, i)->path;
      size_t length = strlen (candidate);

      if (strncmp (path, candidate, length) != 0 || length <= longest)
        continue;
      if (path[length] == '\0' || path[length] == '/' || candidate[length - 1] == '/')
        {
          longest = length;
          found = (int) i;
        }
    }
  return found;
}

int
pl_config_find_account (const struct pl_config *config, const char *name)
{
  for (guint i = 0; i < config->accounts->len; i++)
    if (strcmp (PL_ACCOUNT (config, i)->name, name) == 0)
      return (int) i;
  return PL_NONE;
}

int
pl_config_find_account_by_key (const struct pl_config *config, const uint8_t *hash)
{
  const struct pl_key_config *key = g_hash_table_lookup (config->key_index, hash);

  return key != NULL ? key->account : PL_NONE;
}

int
pl_config_find_link (const struct pl_config *config, int from_region, int to_region)
{
  for (guint i = 0; i < config->links->len; i++)
    if (PL_LINK (config, i)->from == from_region && PL_LINK (config, i)->to == to_region)
      return (int) i;
  return PL_NONE;
}

int
pl_config_count_hosts (const struct pl_config *config, int domain)
{
  int count = 0;

  for (guint i = 0; i < config->hosts->len; i++)
    if (PL_HOST (config, i)->domain == domain)
      count++;
  return count;
}

int64_t
pl_config_fleet_shares (const struct pl_config *config, int host)
{
  int domains_with_hosts = 0;

  if (host == PL_NONE)
    return 0;
  for (guint i = 0; i < config->domains->len; i++)
    if (pl_config_count_hosts (config, (int) i) > 0)
      domains_with_hosts++;
  return (int64_t) domains_with_hosts
         * pl_config_count_hosts (config, PL_HOST (config, host)->domain);
}

int64_t
pl_config_link_shares (const struct pl_config *config, int link, int host)
{
  const struct pl_link_config *ends = PL_LINK (config, link);
  int64_t count = 0;
  bool has_share = false;

  for (guint i = 0; i < config->hosts->len; i++)
    {
      int region = PL_DOMAIN (config, PL_HOST (config, i)->domain)->region;

      if (region != ends->from && region != ends->to)
        continue;
      count++;
      if ((int) i == host)
        has_share = true;
    }
  return has_share ? count : 0;
}
