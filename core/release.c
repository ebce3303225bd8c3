/* Parsing, checking and applying of releases.
 *
 * The delta that an operator wrote is stored as a row and sent between entry
 * hosts as it is, so the cost of a release depends on its own size and not on
 * that of the configuration.  Invariant: a document that pl_release_apply()
 * returned has no dangling references.
 */
#include "pomelolatch/release.h"
#include "pomelolatch/error.h"

#include <string.h>

#define RATE_MAX 1000000000
#define BYTES_MAX 1000000000000

static const struct pl_field region_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {NULL},
};
static const struct pl_field domain_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"region", PL_FIELD_NAME, true, 0, 0, "regions"},
    {NULL},
};
static const struct pl_field link_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"from", PL_FIELD_NAME, true, 0, 0, "regions"},
    {"to", PL_FIELD_NAME, true, 0, 0, "regions"},
    {"bytes_per_second", PL_FIELD_NUMBER, true, 1, BYTES_MAX, NULL},
    {NULL},
};
static const struct pl_field host_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"domain", PL_FIELD_NAME, true, 0, 0, "domains"},
    {"caller", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"peer", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"forward", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {NULL},
};
static const struct pl_field service_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {NULL},
};
static const struct pl_field server_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"service", PL_FIELD_NAME, true, 0, 0, "services"},
    {"domain", PL_FIELD_NAME, true, 0, 0, "domains"},
    {"address", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"slots", PL_FIELD_NUMBER, true, 1, 10000, NULL},
    {"connections", PL_FIELD_NUMBER, false, 1, 100000, NULL},
    {NULL},
};
static const struct pl_field route_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"path", PL_FIELD_PATH, true, 0, 0, NULL},
    {"service", PL_FIELD_NAME, true, 0, 0, "services"},
    {"repeatable", PL_FIELD_BOOL, true, 0, 0, NULL},
    {"open", PL_FIELD_BOOL, false, 0, 0, NULL},
    {"answer_bytes", PL_FIELD_NUMBER, false, 1, BYTES_MAX, NULL},
    {"deadline_ms", PL_FIELD_NUMBER, false, 10, 3600000, NULL},
    {"silence_ms", PL_FIELD_NUMBER, false, 10, 3600000, NULL},
    {"stale_limit_ms", PL_FIELD_NUMBER, false, 1000, 86400000, NULL},
    {NULL},
};
static const struct pl_field account_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"rate", PL_FIELD_NUMBER, true, 1, RATE_MAX, NULL},
    {"burst", PL_FIELD_NUMBER, true, 1, RATE_MAX, NULL},
    {NULL},
};
static const struct pl_field key_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"account", PL_FIELD_NAME, true, 0, 0, "accounts"},
    {"hash", PL_FIELD_HASH, true, 0, 0, NULL},
    {NULL},
};
static const struct pl_field drain_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"server", PL_FIELD_NAME, false, 0, 0, "servers"},
    {"domain", PL_FIELD_NAME, false, 0, 0, "domains"},
    {"entry_host", PL_FIELD_NAME, false, 0, 0, "entry_hosts"},
    {NULL},
};
static const struct pl_field block_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"prefix", PL_FIELD_PREFIX, true, 0, 0, NULL},
    {"domain", PL_FIELD_NAME, true, 0, 0, "domains"},
    {NULL},
};

const struct pl_kind pl_release_kinds[] = {
    {"regions", region_fields},   {"domains", domain_fields},   {"links", link_fields},
    {"entry_hosts", host_fields}, {"services", service_fields}, {"servers", server_fields},
    {"routes", route_fields},     {"accounts", account_fields}, {"keys", key_fields},
    {"drains", drain_fields},     {"blocks", block_fields},     {NULL, NULL},
};

static const struct pl_field top_level_fields[] = {
    {"release", PL_FIELD_NAME, true, 0, 0, NULL},
    {"added", PL_FIELD_ANY, false, 0, 0, NULL},
    {"changed", PL_FIELD_ANY, false, 0, 0, NULL},
    {"withdrawn", PL_FIELD_ANY, false, 0, 0, NULL},
    {NULL},
};

static const struct pl_kind *
find_kind (const char *name)
{
  for (const struct pl_kind *kind = pl_release_kinds; kind->name != NULL; kind++)
    if (strcmp (kind->name, name) == 0)
      return kind;
  return NULL;
}

static void
add_change (json_t *changes, const char *action, const char *kind, const char *name, json_t *fields,
            json_t *locations, struct pl_location location)
{
  json_array_append_new (changes,
                         json_pack ("{s:s,s:s,s:s,s:o,s:o,s:i,s:i}", "action", action, "kind", kind,
                                    "name", name, "fields", fields, "places", locations, "line",
                                    location.line, "column", location.column));
}

/* Reads one item of a kind's list: a mapping of fields, or a name in a withdrawal. */
static void
read_entry (yaml_document_t *document, yaml_node_t *node, const char *action,
            const struct pl_kind *kind, json_t *changes, struct pl_findings *findings)
{
  struct pl_location location = pl_schema_location (node);
  bool is_withdrawal = strcmp (action, "withdrawn") == 0;
  json_t *locations;
  json_t *fields;
  const char *name;

  if (is_withdrawal)
    {
      if (node->type != YAML_SCALAR_NODE
          || !pl_schema_text_is_valid (PL_FIELD_NAME, (const char *) node->data.scalar.value))
        pl_findings_add (findings, location, "expected a name");
      else
        add_change (changes, action, kind->name, (const char *) node->data.scalar.value,
                    json_object (), json_object (), location);
      return;
    }
  locations = json_object ();
  fields = pl_schema_read_mapping (document, node, kind->fields, strcmp (action, "changed") == 0,
                                   locations, findings);
  name = json_string_value (json_object_get (fields, "name"));
  if (name == NULL)
    {
      if (fields != NULL && strcmp (action, "changed") == 0)
        pl_findings_add (findings, location, "field 'name' is missing");
      json_decref (fields);
      json_decref (locations);
      return;
    }
  add_change (changes, action, kind->name, name, fields, locations, location);
}

static void
read_action (yaml_document_t *document, yaml_node_t *node, const char *action, json_t *changes,
             struct pl_findings *findings)
{
  if (node->type != YAML_MAPPING_NODE)
    {
      pl_findings_add (findings, pl_schema_location (node), "'%s' must map kinds to lists", action);
      return;
    }
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top;
       pair++)
    {
      yaml_node_t *key = yaml_document_get_node (document, pair->key);
      yaml_node_t *list = yaml_document_get_node (document, pair->value);
      const struct pl_kind *kind = NULL;

      if (key->type == YAML_SCALAR_NODE)
        kind = find_kind ((const char *) key->data.scalar.value);
      if (kind == NULL)
        {
          pl_findings_add (findings, pl_schema_location (key), "unknown kind");
          continue;
        }
      if (list->type != YAML_SEQUENCE_NODE)
        {
          pl_findings_add (findings, pl_schema_location (list), "'%s' must be a list", kind->name);
          continue;
        }
      for (yaml_node_item_t *item = list->data.sequence.items.start;
           item < list->data.sequence.items.top; item++)
        read_entry (document, yaml_document_get_node (document, *item), action, kind, changes,
                    findings);
    }
}

/* Reports names that occur more than once: such changes contradict each other or are a mistake. */
static void
check_duplicates (const json_t *changes, struct pl_findings *findings)
{
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  size_t i;
  json_t *change;

  json_array_foreach (changes, i, change)
  {
    const char *kind = json_string_value (json_object_get (change, "kind"));
    const char *name = json_string_value (json_object_get (change, "name"));
    struct pl_location location = {(int) json_integer_value (json_object_get (change, "line")),
                                   (int) json_integer_value (json_object_get (change, "column"))};

    if (!g_hash_table_add (seen, g_strdup_printf ("%s/%s", kind, name)))
      pl_findings_add (findings, location, "'%s' of '%s' occurs more than once in this release",
                       name, kind);
  }
  g_hash_table_destroy (seen);
}

struct pl_release *
pl_release_parse (const char *text, size_t length, struct pl_findings *findings)
{
  static const char *const actions[] = {"added", "changed", "withdrawn"};
  struct pl_release *release = NULL;
  guint findings_before = pl_findings_count (findings);
  yaml_document_t document;
  yaml_node_t *root;
  json_t *top_level;

  if (pl_schema_parse (text, length, &document, findings) < 0)
    return NULL;
  root = yaml_document_get_root_node (&document);
  top_level = pl_schema_read_mapping (&document, root, top_level_fields, false, NULL, findings);
  if (top_level == NULL)
    goto out;
  release = g_new0 (struct pl_release, 1);
  release->id = g_strdup (json_string_value (json_object_get (top_level, "release")));
  release->changes = json_array ();
  for (size_t i = 0; i < G_N_ELEMENTS (actions); i++)
    {
      yaml_node_t *node = pl_schema_lookup (&document, root, actions[i]);

      if (node != NULL)
        read_action (&document, node, actions[i], release->changes, findings);
    }
  check_duplicates (release->changes, findings);
  if (pl_findings_count (findings) > findings_before)
    g_clear_pointer (&release, pl_release_free);
out:
  json_decref (top_level);
  yaml_document_delete (&document);
  return release;
}

void
pl_release_free (struct pl_release *release)
{
  if (release == NULL)
    return;
  g_free (release->id);
  json_decref (release->changes);
  g_free (release);
}

/* Adds, updates or removes one entry.  ENTRIES maps names to fields, for the kind of CHANGE. */
static void
apply_change (json_t *entries, const json_t *change, struct pl_findings *findings)
{
  const char *action = json_string_value (json_object_get (change, "action"));
  const char *kind = json_string_value (json_object_get (change, "kind"));
  const char *name = json_string_value (json_object_get (change, "name"));
  json_t *fields = json_object_get (change, "fields");
  json_t *existing = json_object_get (entries, name);
  struct pl_location location = {(int) json_integer_value (json_object_get (change, "line")),
                                 (int) json_integer_value (json_object_get (change, "column"))};

  if (strcmp (action, "added") == 0)
    {
      if (existing != NULL)
        pl_findings_add (findings, location, "'%s' of '%s' already exists", name, kind);
      else
        json_object_set (entries, name, fields);
      return;
    }
  if (existing == NULL)
    {
      pl_findings_add (findings, location, "there is no '%s' in '%s'", name, kind);
      return;
    }
  if (strcmp (action, "withdrawn") == 0)
    {
      json_object_del (entries, name);
      return;
    }
  existing = json_deep_copy (existing);
  json_object_update (existing, fields);
  json_object_set_new (entries, name, existing);
}

/* Returns where RELEASE sets FIELD of KIND/NAME, else where it changes that entry, else the start
 * of the release. */
static struct pl_location
find_location (const struct pl_release *release, const char *kind, const char *name,
               const char *field)
{
  struct pl_location location = {1, 1};
  size_t i;
  json_t *change;

  json_array_foreach (release->changes, i, change)
  {
    json_t *field_location;

    if (strcmp (json_string_value (json_object_get (change, "kind")), kind) != 0
        || strcmp (json_string_value (json_object_get (change, "name")), name) != 0)
      continue;
    location.line = (int) json_integer_value (json_object_get (change, "line"));
    location.column = (int) json_integer_value (json_object_get (change, "column"));
    field_location = json_object_get (json_object_get (change, "places"), field);
    if (field_location != NULL)
      json_unpack (field_location, "[i,i]", &location.line, &location.column);
  }
  return location;
}

static void
check_references (const json_t *document, const struct pl_release *release,
                  struct pl_findings *findings)
{
  for (const struct pl_kind *kind = pl_release_kinds; kind->name != NULL; kind++)
    {
      json_t *entries = json_object_get (document, kind->name);
      const char *name;
      json_t *entry;

      json_object_foreach (entries, name, entry)
      {
        for (const struct pl_field *field = kind->fields; field->name != NULL; field++)
          {
            const char *target = json_string_value (json_object_get (entry, field->name));

            if (field->refers_to == NULL || target == NULL)
              continue;
            if (json_object_get (json_object_get (document, field->refers_to), target) == NULL)
              pl_findings_add (findings, find_location (release, kind->name, name, field->name),
                               "'%s' of '%s' refers to '%s', which is not in '%s'", name,
                               kind->name, target, field->refers_to);
          }
      }
    }
}

/* Reports keys that share a hash: a key identifies exactly one account. */
static void
check_keys (const json_t *document, const struct pl_release *release, struct pl_findings *findings)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  const char *name;
  json_t *key;

  json_object_foreach (json_object_get (document, "keys"), name, key)
  {
    const char *hash = json_string_value (json_object_get (key, "hash"));

    if (!g_hash_table_add (seen, (gpointer) hash))
      pl_findings_add (findings, find_location (release, "keys", name, "hash"),
                       "key '%s' has the same hash as another key", name);
  }
  g_hash_table_destroy (seen);
}

/* Reports drains that do not name exactly one server, failure domain or entry host. */
static void
check_drains (const json_t *document, const struct pl_release *release,
              struct pl_findings *findings)
{
  const char *name;
  json_t *drain;

  json_object_foreach (json_object_get (document, "drains"), name, drain)
  {
    int targets = (json_object_get (drain, "server") != NULL)
                  + (json_object_get (drain, "domain") != NULL)
                  + (json_object_get (drain, "entry_host") != NULL);

    if (targets != 1)
      pl_findings_add (findings, find_location (release, "drains", name, "name"),
                       "drain '%s' must name one of server, domain or entry_host", name);
  }
}

json_t *
pl_release_apply (const json_t *document, const struct pl_release *release,
                  struct pl_findings *findings)
{
  guint findings_before = pl_findings_count (findings);
  json_t *next = json_object ();
  size_t i;
  json_t *change;

  for (const struct pl_kind *kind = pl_release_kinds; kind->name != NULL; kind++)
    {
      json_t *entries = json_object_get (document, kind->name);

      json_object_set_new (next, kind->name,
                           entries != NULL ? json_copy (entries) : json_object ());
    }
  json_array_foreach (release->changes, i, change)
  {
    const char *kind = json_string_value (json_object_get (change, "kind"));

    apply_change (json_object_get (next, kind), change, findings);
  }
  check_references (next, release, findings);
  check_keys (next, release, findings);
  check_drains (next, release, findings);
  if (pl_findings_count (findings) > findings_before)
    g_clear_pointer (&next, json_decref);
  return next;
}

json_t *
pl_release_to_json (const struct pl_release *release)
{
  return json_pack ("{s:s,s:O}", "id", release->id, "changes", release->changes);
}

struct pl_release *
pl_release_from_json (const json_t *json)
{
  const char *id = json_string_value (json_object_get (json, "id"));
  json_t *changes = json_object_get (json, "changes");
  struct pl_release *release;
  size_t i;
  json_t *change;

  if (id == NULL || !json_is_array (changes))
    return NULL;
  json_array_foreach (changes, i, change)
  {
    const char *kind = json_string_value (json_object_get (change, "kind"));

    if (kind == NULL || find_kind (kind) == NULL
        || json_string_value (json_object_get (change, "name")) == NULL
        || json_string_value (json_object_get (change, "action")) == NULL)
      return NULL;
  }
  release = g_new0 (struct pl_release, 1);
  release->id = g_strdup (id);
  release->changes = json_incref (changes);
  return release;
}
