/* Reads the plan of a run: a mapping with lists of accounts, routes and faults. */
#include "load.h"

#include "internal/settings.h"

static const struct pl_field plan_fields[] = {
    {"lookups", PL_FIELD_LIST, true, 0, 0, NULL},
    {"platform", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"entry", PL_FIELD_ADDRESS, false, 0, 0, NULL},
    {"operator", PL_FIELD_ADDRESS, false, 0, 0, NULL},
    {"operator_key", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"milliseconds", PL_FIELD_NUMBER, true, 1, 86400000, NULL},
    {"seed", PL_FIELD_NUMBER, false, 0, 1000000000, NULL},
    {"resend", PL_FIELD_BOOL, false, 0, 0, NULL},
    {"accounts", PL_FIELD_ANY, true, 0, 0, NULL},
    {"routes", PL_FIELD_ANY, true, 0, 0, NULL},
    {"faults", PL_FIELD_ANY, false, 0, 0, NULL},
    {NULL},
};
static const struct pl_field account_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"key", PL_FIELD_TEXT, true, 0, 0, NULL},
    {"rate", PL_FIELD_NUMBER, true, 1, 1000000, NULL},
    {"burst", PL_FIELD_NUMBER, true, 1, 1000000, NULL},
    {"offered", PL_FIELD_NUMBER, true, 0, 1000000, NULL},
    {NULL},
};
static const struct pl_field route_fields[] = {
    {"path", PL_FIELD_PATH, true, 0, 0, NULL},
    {"method", PL_FIELD_NAME, true, 0, 0, NULL},
    {"weight", PL_FIELD_NUMBER, true, 1, 1000000, NULL},
    {"unrepeatable", PL_FIELD_BOOL, false, 0, 0, NULL},
    {"body_bytes", PL_FIELD_NUMBER, false, 0, 1000000000, NULL},
    {"answer_bytes", PL_FIELD_NUMBER, false, 1, 1000000000, NULL},
    {"fault", PL_FIELD_NAME, false, 0, 0, NULL},
    {NULL},
};
static const struct pl_field fault_fields[] = {
    {"at_ms", PL_FIELD_NUMBER, true, 0, 86400000, NULL},
    {"post", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"process", PL_FIELD_NAME, false, 0, 0, NULL},
    {"signal", PL_FIELD_NUMBER, false, 1, 64, NULL},
    {"release", PL_FIELD_TEXT, false, 0, 0, NULL},
    {NULL},
};

static json_t *
read_list (yaml_document_t *document, json_t *plan_json, const char *name,
           const struct pl_field *fields, struct pl_findings *findings)
{
  yaml_node_t *root = yaml_document_get_root_node (document);
  yaml_node_t *node
      = root->type == YAML_MAPPING_NODE ? pl_schema_lookup (document, root, name) : NULL;
  json_t *list
      = node != NULL ? pl_schema_read_list (document, node, fields, NULL, findings) : json_array ();

  json_object_set_new (plan_json, name, list);
  return list;
}

static void
add_accounts (struct load_plan *plan, const json_t *list)
{
  size_t i;
  json_t *entry;

  json_array_foreach (list, i, entry)
  {
    struct load_account account
        = {pl_settings_text (entry, "name", ""), pl_settings_text (entry, "key", ""),
           (double) pl_settings_number (entry, "rate", 1),
           (double) pl_settings_number (entry, "burst", 1),
           (double) pl_settings_number (entry, "offered", 0)};

    g_array_append_val (plan->accounts, account);
  }
}

static void
add_routes (struct load_plan *plan, const json_t *list)
{
  size_t i;
  json_t *entry;

  json_array_foreach (list, i, entry)
  {
    struct load_route route = {pl_settings_text (entry, "path", "/"),
                               pl_settings_text (entry, "method", "GET"),
                               (int) pl_settings_number (entry, "weight", 1),
                               json_is_true (json_object_get (entry, "unrepeatable")),
                               pl_settings_number (entry, "body_bytes", 0),
                               pl_settings_number (entry, "answer_bytes", 2048),
                               pl_settings_text (entry, "fault", NULL)};

    plan->weight_sum += route.weight;
    g_array_append_val (plan->routes, route);
  }
}

static void
add_faults (struct load_plan *plan, const json_t *list)
{
  size_t i;
  json_t *entry;

  json_array_foreach (list, i, entry)
  {
    struct load_fault fault = {pl_settings_number (entry, "at_ms", 0) * 1000,
                               pl_settings_text (entry, "post", NULL),
                               pl_settings_text (entry, "process", NULL),
                               (int) pl_settings_number (entry, "signal", 15),
                               pl_settings_text (entry, "release", NULL),
                               false};

    g_array_append_val (plan->faults, fault);
  }
}

static struct load_plan *
make_plan (json_t *json)
{
  struct load_plan *plan = g_new0 (struct load_plan, 1);

  plan->json = json;
  plan->lookups = json_object_get (json, "lookups");
  plan->platform = pl_settings_text (json, "platform", "");
  plan->entry = pl_settings_text (json, "entry", NULL);
  plan->operator_address = pl_settings_text (json, "operator", NULL);
  plan->operator_key = pl_settings_text (json, "operator_key", "");
  plan->duration_us = pl_settings_number (json, "milliseconds", 1) * 1000;
  plan->seed = (uint32_t) pl_settings_number (json, "seed", 1);
  plan->resend = json_is_true (json_object_get (json, "resend"));
  plan->accounts = g_array_new (FALSE, TRUE, sizeof (struct load_account));
  plan->routes = g_array_new (FALSE, TRUE, sizeof (struct load_route));
  plan->faults = g_array_new (FALSE, TRUE, sizeof (struct load_fault));
  add_accounts (plan, json_object_get (json, "accounts"));
  add_routes (plan, json_object_get (json, "routes"));
  add_faults (plan, json_object_get (json, "faults"));
  return plan;
}

struct load_plan *
load_plan_read (const char *file)
{
  const struct pl_location whole_file = {0, 0};
  struct pl_findings *findings = pl_findings_new (file);
  g_autofree char *findings_text = NULL;
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  struct load_plan *plan = NULL;
  yaml_document_t document;
  json_t *json = NULL;
  gsize length;

  if (!g_file_get_contents (file, &text, &length, &error))
    pl_findings_add (findings, whole_file, "%s", error->message);
  else if (pl_schema_parse (text, length, &document, findings) == 0)
    {
      json = pl_schema_read_mapping (&document, yaml_document_get_root_node (&document),
                                     plan_fields, false, NULL, findings);
      if (json != NULL)
        {
          read_list (&document, json, "accounts", account_fields, findings);
          read_list (&document, json, "routes", route_fields, findings);
          read_list (&document, json, "faults", fault_fields, findings);
        }
      yaml_document_delete (&document);
    }
  findings_text = pl_findings_format (findings);
  fputs (findings_text, stderr);
  if (pl_findings_count (findings) == 0)
    plan = make_plan (json);
  else
    json_decref (json);
  pl_findings_free (findings);
  return plan;
}
