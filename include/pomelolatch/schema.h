/* schema.h - YAML documents checked against tables of fields.
 *
 * API tier: stable.
 *
 * A schema is a table of struct pl_field.  pl_schema_read_mapping() turns one
 * YAML mapping into a JSON object, adding a finding with line and column for
 * each unknown, duplicate, missing or malformed field.
 */
#ifndef POMELOLATCH_SCHEMA_H
#define POMELOLATCH_SCHEMA_H

#include "pomelolatch/findings.h"

#include <stdbool.h>
#include <yaml.h>

enum pl_field_type
{
  PL_FIELD_NAME,    /* 1 to 63 of [A-Za-z0-9._-] */
  PL_FIELD_TEXT,    /* string without control characters */
  PL_FIELD_PATH,    /* string that starts with '/' */
  PL_FIELD_NUMBER,  /* whole number within [min, max] */
  PL_FIELD_BOOL,    /* true or false */
  PL_FIELD_ADDRESS, /* IPv4:port */
  PL_FIELD_HASH,    /* 64 hexadecimal digits */
  PL_FIELD_PREFIX,  /* IPv4/length */
  PL_FIELD_LIST,    /* sequence of strings */
  PL_FIELD_ANY,     /* any value; not checked and not copied to the result */
};

struct pl_field
{
  const char *name;
  enum pl_field_type type;
  bool required;
  int64_t min;           /* of a number; of a text, in bytes */
  int64_t max;           /* the same; 0: a text of any length */
  const char *refers_to; /* kind of the entry that this field names, or NULL */
};

struct pl_kind
{
  const char *name;
  const struct pl_field *fields; /* terminated by a NULL name */
};

/* Parses TEXT into DOCUMENT.  Returns 0, or PL_ERR_INVALID with a finding added.  On success the
 * caller frees DOCUMENT with yaml_document_delete(). */
int pl_schema_parse (const char *text, size_t length, yaml_document_t *document,
                     struct pl_findings *findings);

/* Reads the mapping NODE by FIELDS.  Returns a new JSON object, owned by the caller, with the
 * well-formed fields, or NULL if NODE is not a mapping.  PARTIAL omits the check for required
 * fields.  LOCATIONS, if not NULL, receives [line, column] by field name. */
json_t *pl_schema_read_mapping (yaml_document_t *document, yaml_node_t *node,
                                const struct pl_field *fields, bool partial, json_t *locations,
                                struct pl_findings *findings);

/* Parses TEXT as one mapping by FIELDS.  An optional field with an empty value counts as absent.
 * Returns an object, owned by the caller, or NULL with findings added. */
json_t *pl_schema_read_text (const char *text, size_t length, const struct pl_field *fields,
                             struct pl_findings *findings);

/* Reads NODE as a list of mappings by FIELDS.  Returns a new JSON array, owned by the caller,
 * without malformed entries and fields, for which findings are added.  LOCATIONS, if not NULL,
 * receives [line, column] of each entry. */
json_t *pl_schema_read_list (yaml_document_t *document, yaml_node_t *node,
                             const struct pl_field *fields, json_t *locations,
                             struct pl_findings *findings);

struct pl_location pl_schema_location (const yaml_node_t *node);

/* Returns the value of KEY in the mapping NODE, or NULL. */
yaml_node_t *pl_schema_lookup (yaml_document_t *document, yaml_node_t *node, const char *key);

/* Returns whether TEXT is well formed for TYPE. */
bool pl_schema_text_is_valid (enum pl_field_type type, const char *text);

#endif
