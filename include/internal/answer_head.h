/* answer_head.h - reads the heads of HTTP/1 answers, line by line.
 *
 * API tier: private.
 *
 * The only reader of status lines, lengths and field lines: what the router decides by and what
 * callers get comes from the same result.  Source: RFC 9112, sections 2 to 6.
 */
#ifndef POMELOLATCH_ANSWER_HEAD_H
#define POMELOLATCH_ANSWER_HEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Statuses of interim and of final answers (RFC 9110, section 15). */
#define PL_STATUS_INTERIM_MIN 100
#define PL_STATUS_FINAL_MIN 200
#define PL_STATUS_FINAL_MAX 599

enum pl_answer_line
{
  PL_ANSWER_LINE_MALFORMED, /* what arrives is no answer */
  PL_ANSWER_LINE_STATUS,    /* begins a head: that of the answer, or of an interim one before it */
  PL_ANSWER_LINE_FIELD,
  PL_ANSWER_LINE_END, /* ends the head, or the trailers */
  PL_ANSWER_LINE_TRAILER,
};

enum pl_answer_head_state
{
  PL_ANSWER_HEAD_NONE,   /* nothing has been read */
  PL_ANSWER_HEAD_FIELDS, /* the head has begun */
  PL_ANSWER_HEAD_COMPLETE,
};

/* What has been read of the last head; initially zero. */
struct pl_answer_head
{
  enum pl_answer_head_state state;
  int status;
  bool has_length;
  uint64_t length; /* of the body, bytes; if has_length */
  bool is_encoded; /* has a Transfer-Encoding */
  bool has_fields;
  bool ends_lines_with_crlf;
};

/* A field line; the caller frees TEXT, to which NAME and VALUE refer. */
struct pl_answer_field
{
  char *text;
  const char *name;
  const char *value;
};

/* Reads LINE of LENGTH bytes, with its line end.  FIELD is set for PL_ANSWER_LINE_FIELD only. */
enum pl_answer_line pl_answer_head_read (struct pl_answer_head *head, const char *line,
                                         size_t length, struct pl_answer_field *field);

/* Returns whether HEAD is that of a final answer, and complete. */
bool pl_answer_head_is_final (const struct pl_answer_head *head);

#endif
