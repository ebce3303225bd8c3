/* YAML parsing and validation by field tables.
 *
 * Findings take line and column from the marks in libyaml's document tree.
 * Aliases are rejected: with shared nodes the output could become larger than the
 * input.
 */
#include "pomelolatch/schema.h"
#include "pomelolatch/error.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define NAME_LENGTH_MAX 63
#define HASH_DIGITS 64
#define PORT_MAX 65535
#define PREFIX_BITS_MAX 32
/* Of a port; longer numbers have leading zeros. */
#define SUFFIX_DIGITS_MAX 5

struct pl_location
pl_schema_location (const yaml_node_t *node)
{
  struct pl_location location
      = {(int) node->start_mark.line + 1, (int) node->start_mark.column + 1};

  return location;
}

static bool
name_is_valid (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > NAME_LENGTH_MAX)
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
         == length;
}

/* Returns whether TEXT is an IPv4 address, SEPARATOR, and a number of at most MAXIMUM. */
static bool
address_with_suffix_is_valid (const char *text, char separator, long maximum)
{
  const char *at = strrchr (text, separator);
  char host[INET_ADDRSTRLEN] = "";
  struct in_addr address;
  char *end;
  long number;

  if (at == NULL || (size_t) (at - text) >= sizeof host)
    return false;
  memcpy (host, text, (size_t) (at - text));
  number = strtol (at + 1, &end, 10);
  return at[1] >= '0' && at[1] <= '9' && *end == '\0' && number <= maximum
         && end - at <= SUFFIX_DIGITS_MAX + 1 && inet_pton (AF_INET, host, &address) == 1;
}

static bool
text_is_printable (const char *text)
{
  for (const unsigned char *c = (const unsigned char *) text; *c != '\0'; c++)
    if (*c < 0x20 || *c == 0x7f)
      return false;
  return true;
}

bool
pl_schema_text_is_valid (enum pl_field_type type, const char *text)
{
  switch (type)
    {
    case PL_FIELD_NAME:
      return name_is_valid (text);
    case PL_FIELD_PATH:
      return text[0] == '/' && text_is_printable (text);
    case PL_FIELD_ADDRESS:
      return address_with_suffix_is_valid (text, ':', PORT_MAX);
    case PL_FIELD_PREFIX:
      return address_with_suffix_is_valid (text, '/', PREFIX_BITS_MAX);
    case PL_FIELD_HASH:
      return strlen (text) == HASH_DIGITS && strspn (text, "0123456789abcdef") == HASH_DIGITS;
    default:
      return text_is_printable (text);
    }
}

static const char *
type_name (enum pl_field_type type)
{
  static const char *const names[] = {
      [PL_FIELD_NAME] = "a name of letters, digits, '.', '_' and '-'",
      [PL_FIELD_TEXT] = "a string without control characters",
      [PL_FIELD_PATH] = "a path that starts with '/'",
      [PL_FIELD_NUMBER] = "a whole number",
      [PL_FIELD_BOOL] = "true or false",
      [PL_FIELD_ADDRESS] = "an address as IP:port",
      [PL_FIELD_HASH] = "a hash of 64 lower-case hexadecimal digits",
      [PL_FIELD_PREFIX] = "a prefix as IP/length",
      [PL_FIELD_LIST] = "a list of strings",
      [PL_FIELD_ANY] = "a value",
  };

  return names[type];
}

static json_t *
read_number (const struct pl_field *field, yaml_node_t *node, struct pl_findings *findings)
{
  const char *text = (const char *) node->data.scalar.value;
  char *end;
  long long number;

  errno = 0;
  number = strtoll (text, &end, 10);
  if (*text == '\0' || *end != '\0' || errno != 0)
    {
      pl_findings_add (findings, pl_schema_location (node), "'%s' must be %s, not '%s'",
                       field->name, type_name (field->type), text);
      return NULL;
    }
  if (number < field->min || number > field->max)
    {
      pl_findings_add (findings, pl_schema_location (node),
                       "'%s' must lie between %" G_GINT64_FORMAT " and %" G_GINT64_FORMAT
                       ", not %lld",
                       field->name, field->min, field->max, number);
      return NULL;
    }
  return json_integer (number);
}

static json_t *
read_list (yaml_document_t *document, const struct pl_field *field, yaml_node_t *node,
           struct pl_findings *findings)
{
  json_t *list = json_array ();

  for (yaml_node_item_t *item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++)
    {
      yaml_node_t *value = yaml_document_get_node (document, *item);

      if (value->type != YAML_SCALAR_NODE
          || !text_is_printable ((const char *) value->data.scalar.value))
        pl_findings_add (findings, pl_schema_location (value), "'%s' must contain only strings",
                         field->name);
      else
        json_array_append_new (list, json_string ((const char *) value->data.scalar.value));
    }
  return list;
}

/* Returns a new value, or NULL with a finding added. */
static json_t *
read_value (yaml_document_t *document, const struct pl_field *field, yaml_node_t *node,
            struct pl_findings *findings)
{
  const char *text;

  if (field->type == PL_FIELD_LIST && node->type == YAML_SEQUENCE_NODE)
    return read_list (document, field, node, findings);
  if (node->type != YAML_SCALAR_NODE || field->type == PL_FIELD_LIST)
    {
      pl_findings_add (findings, pl_schema_location (node), "'%s' must be %s", field->name,
                       type_name (field->type));
      return NULL;
    }
  text = (const char *) node->data.scalar.value;
  if (field->type == PL_FIELD_NUMBER)
    return read_number (field, node, findings);
  if (field->type == PL_FIELD_BOOL && strcmp (text, "true") == 0)
    return json_true ();
  if (field->type == PL_FIELD_BOOL && strcmp (text, "false") == 0)
    return json_false ();
  if (field->max > 0 && (int64_t) node->data.scalar.length > field->max)
    {
      pl_findings_add (findings, pl_schema_location (node),
                       "'%s' must have at most %" G_GINT64_FORMAT " bytes", field->name,
                       field->max);
      return NULL;
    }
  if (field->type != PL_FIELD_BOOL && strlen (text) == node->data.scalar.length
      && (int64_t) strlen (text) >= field->min && pl_schema_text_is_valid (field->type, text))
    return json_string (text);
  pl_findings_add (findings, pl_schema_location (node), "'%s' must be %s, not '%.64s'", field->name,
                   type_name (field->type), text_is_printable (text) ? text : "?");
  return NULL;
}

static const struct pl_field *
find_field (const struct pl_field *fields, const char *name)
{
  for (; fields->name != NULL; fields++)
    if (strcmp (fields->name, name) == 0)
      return fields;
  return NULL;
}

static void
check_required (yaml_node_t *node, const struct pl_field *fields, GHashTable *seen,
                struct pl_findings *findings)
{
  for (; fields->name != NULL; fields++)
    if (fields->required && !g_hash_table_contains (seen, fields->name))
      pl_findings_add (findings, pl_schema_location (node), "field '%s' is missing", fields->name);
}

static bool
is_empty_scalar (const yaml_node_t *node)
{
  return node->type == YAML_SCALAR_NODE && node->data.scalar.length == 0;
}

/* OMITS_EMPTY: an optional field with an empty value counts as absent. */
static json_t *
read_mapping (yaml_document_t *document, yaml_node_t *node, const struct pl_field *fields,
              bool partial, bool omits_empty, json_t *locations, struct pl_findings *findings)
{
  GHashTable *seen;
  json_t *object;

  if (node->type != YAML_MAPPING_NODE)
    {
      pl_findings_add (findings, pl_schema_location (node), "expected a mapping of fields");
      return NULL;
    }
  seen = g_hash_table_new (g_str_hash, g_str_equal);
  object = json_object ();
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top;
       pair++)
    {
      yaml_node_t *key = yaml_document_get_node (document, pair->key);
      yaml_node_t *value = yaml_document_get_node (document, pair->value);
      struct pl_location location = pl_schema_location (value);
      const struct pl_field *field;
      json_t *read;

      if (key->type != YAML_SCALAR_NODE)
        {
          pl_findings_add (findings, pl_schema_location (key), "a field name must be a string");
          continue;
        }
      field = find_field (fields, (const char *) key->data.scalar.value);
      if (field == NULL)
        {
          pl_findings_add (findings, pl_schema_location (key), "unknown field '%.64s'",
                           (const char *) key->data.scalar.value);
          continue;
        }
      if (!g_hash_table_add (seen, (gpointer) field->name))
        {
          pl_findings_add (findings, pl_schema_location (key), "field '%s' occurs more than once",
                           field->name);
          continue;
        }
      if (field->type == PL_FIELD_ANY
          || (omits_empty && !field->required && is_empty_scalar (value)))
        continue;
      read = read_value (document, field, value, findings);
      if (read == NULL)
        continue;
      json_object_set_new (object, field->name, read);
      if (locations != NULL)
        json_object_set_new (locations, field->name,
                             json_pack ("[i,i]", location.line, location.column));
    }
  if (!partial)
    check_required (node, fields, seen, findings);
  g_hash_table_destroy (seen);
  return object;
}

json_t *
pl_schema_read_mapping (yaml_document_t *document, yaml_node_t *node, const struct pl_field *fields,
                        bool partial, json_t *locations, struct pl_findings *findings)
{
  return read_mapping (document, node, fields, partial, false, locations, findings);
}

json_t *
pl_schema_read_list (yaml_document_t *document, yaml_node_t *node, const struct pl_field *fields,
                     json_t *locations, struct pl_findings *findings)
{
  json_t *list = json_array ();

  if (node->type != YAML_SEQUENCE_NODE)
    {
      pl_findings_add (findings, pl_schema_location (node), "expected a list");
      return list;
    }
  for (yaml_node_item_t *item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++)
    {
      yaml_node_t *entry = yaml_document_get_node (document, *item);
      struct pl_location location = pl_schema_location (entry);
      json_t *object = pl_schema_read_mapping (document, entry, fields, false, NULL, findings);

      if (object == NULL)
        continue;
      json_array_append_new (list, object);
      if (locations != NULL)
        json_array_append_new (locations, json_pack ("[i,i]", location.line, location.column));
    }
  return list;
}

yaml_node_t *
pl_schema_lookup (yaml_document_t *document, yaml_node_t *node, const char *key)
{
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top;
       pair++)
    {
      yaml_node_t *name = yaml_document_get_node (document, pair->key);

      if (name->type == YAML_SCALAR_NODE && strcmp ((char *) name->data.scalar.value, key) == 0)
        return yaml_document_get_node (document, pair->value);
    }
  return NULL;
}

/* Rejects aliases before the document tree is built, since the tree would contain shared nodes. */
static int
reject_aliases (const char *text, size_t length, struct pl_findings *findings)
{
  yaml_parser_t parser;
  yaml_event_t event;
  bool done = false;
  int result = 0;

  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *) text, length);
  while (!done)
    {
      struct pl_location location;

      if (!yaml_parser_parse (&parser, &event))
        {
          location = (struct pl_location){(int) parser.problem_mark.line + 1,
                                          (int) parser.problem_mark.column + 1};
          pl_findings_add (findings, location, "invalid YAML: %s",
                           parser.problem != NULL ? parser.problem : "unknown syntax error");
          result = PL_ERR_INVALID;
          break;
        }
      location = (struct pl_location){(int) event.start_mark.line + 1,
                                      (int) event.start_mark.column + 1};
      if (event.type == YAML_ALIAS_EVENT)
        {
          pl_findings_add (findings, location, "aliases are not allowed");
          result = PL_ERR_INVALID;
        }
      done = event.type == YAML_STREAM_END_EVENT;
      yaml_event_delete (&event);
    }
  yaml_parser_delete (&parser);
  return result;
}

int
pl_schema_parse (const char *text, size_t length, yaml_document_t *document,
                 struct pl_findings *findings)
{
  const struct pl_location start = {1, 1};
  yaml_parser_t parser;
  int result;

  result = reject_aliases (text, length, findings);
  if (result < 0)
    return result;
  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *) text, length);
  if (!yaml_parser_load (&parser, document))
    {
      pl_findings_add (findings, start, "invalid YAML");
      result = PL_ERR_INVALID;
    }
  else if (yaml_document_get_root_node (document) == NULL)
    {
      pl_findings_add (findings, start, "the document is empty");
      yaml_document_delete (document);
      result = PL_ERR_INVALID;
    }
  yaml_parser_delete (&parser);
  return result;
}

json_t *
pl_schema_read_text (const char *text, size_t length, const struct pl_field *fields,
                     struct pl_findings *findings)
{
  yaml_document_t document;
  json_t *object;

  if (pl_schema_parse (text, length, &document, findings) < 0)
    return NULL;
  object = read_mapping (&document, yaml_document_get_root_node (&document), fields, false, true,
                         NULL, findings);
  yaml_document_delete (&document);
  if (pl_findings_count (findings) > 0)
    g_clear_pointer (&object, json_decref);
  return object;
}
