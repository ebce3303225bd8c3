/* schema.h - YAML documents checked against tables of fields.
 *
 * API tier: stable.
 *
 * A schema is a table of struct pl_field.  pl_schema_read_mapping() turns one
 * YAML mapping into a JSON object, adding a finding with line and column for
 * each unknown, doubled, missing or malformed field.
 */
#ifndef POMELOLATCH_SCHEMA_H
#define POMELOLATCH_SCHEMA_H

#include "pomelolatch/findings.h"

#include <stdbool.h>
#include <yaml.h>

enum pl_field_type
{
  PL_FIELD_NAME,    /* 1 to 63 of [A-Za-z0-9._-] */
  PL_FIELD_TEXT,    /* any text without control characters */
  PL_FIELD_PATH,    /* text that starts with '/' */
  PL_FIELD_NUMBER,  /* whole number within [min, max] */
  PL_FIELD_BOOL,    /* true or false */
  PL_FIELD_ADDRESS, /* IPv4:port */
  PL_FIELD_HASH,    /* 64 hexadecimal digits */
  PL_FIELD_PREFIX,  /* IPv4/length */
  PL_FIELD_LIST,    /* sequence of texts */
  PL_FIELD_ANY,     /* left to the caller, not copied */
};

struct pl_field
{
  const char *name;
  enum pl_field_type type;
  bool required;
  int64_t min;
  int64_t max;
  const char *refers_to; /* kind whose names this field holds, or NULL */
};

struct pl_kind
{
  const char *name;
  const struct pl_field *fields; /* ended by a NULL name */
};

/* Parses TEXT into DOCUMENT.  Returns 0, or PL_ERR_INVALID with a finding added; on success the
 * caller ends DOCUMENT with yaml_document_delete(). */
int pl_schema_parse (const char *text, size_t length, yaml_document_t *document,
                     struct pl_findings *findings);

/* Reads NODE by FIELDS.  Returns a new JSON object that the caller owns, holding the fields that
 * were well formed; PARTIAL leaves out the check for required fields.  NULL when NODE is no
 * mapping.  PLACES, when not NULL, receives field name -> [line, column]. */
json_t *pl_schema_read_mapping (yaml_document_t *document, yaml_node_t *node,
                                const struct pl_field *fields, bool partial, json_t *places,
                                struct pl_findings *findings);

/* Parses TEXT as one mapping by FIELDS.  Returns an object that the caller owns, or NULL with
 * findings added. */
json_t *pl_schema_read_text (const char *text, size_t length, const struct pl_field *fields,
                             struct pl_findings *findings);

/* Reads NODE as a list of mappings by FIELDS.  Returns a new JSON array that the caller owns; what
 * is malformed is left out with findings added.  PLACES, when not NULL, receives [line, column] of
 * each entry. */
json_t *pl_schema_read_list (yaml_document_t *document, yaml_node_t *node,
                             const struct pl_field *fields, json_t *places,
                             struct pl_findings *findings);

struct pl_place pl_schema_place (const yaml_node_t *node);

/* Returns the value of KEY in the mapping NODE, or NULL. */
yaml_node_t *pl_schema_lookup (yaml_document_t *document, yaml_node_t *node, const char *key);

/* Checks one text by TYPE.  Returns true when it is well formed. */
bool pl_schema_text_is_valid (enum pl_field_type type, const char *text);

#endif
