/* Measures the heads of requests before libmicrohttpd reads them.
 *
 * libmicrohttpd keeps a record for each header field, query parameter and cookie, and a copy of
 * each Cookie field.  A head of many short fields therefore takes many times its own bytes.
 */
#include "internal/front_pipeline.h"

#include <string.h>

#define COOKIE "Cookie:"
#define VERSION "HTTP/1."

static size_t
count_chars (const char *text, size_t length, char c)
{
  const char *end = text + length;
  size_t count = 0;

  for (const char *at = text; (at = memchr (at, c, (size_t) (end - at))) != NULL; at++)
    count++;
  return count;
}

static void
add_field (const char *line, size_t length, struct pl_head_size *size)
{
  size->fields++;
  if (length < strlen (COOKIE) || g_ascii_strncasecmp (line, COOKIE, strlen (COOKIE)) != 0)
    return;
  size->fields += count_chars (line, length, ';') + 1;
  size->copied_bytes += length;
}

bool
pl_front_measure_head (const char *text, size_t length, struct pl_head_size *size)
{
  const char *end = text + length;
  const char *line = text;
  const char *newline;

  *size = (struct pl_head_size){0};
  /* Empty lines before a request are skipped. */
  while (line < end && (*line == '\r' || *line == '\n'))
    line++;
  for (bool is_first = true; (newline = memchr (line, '\n', (size_t) (end - line))) != NULL;
       is_first = false)
    {
      size_t line_length = (size_t) (newline - line);

      if (line_length > 0 && line[line_length - 1] == '\r')
        line_length--;
      if (is_first)
        {
          size->fields
              = count_chars (line, line_length, '?') + count_chars (line, line_length, '&');
          size->has_request_line = g_strstr_len (line, (gssize) line_length, " " VERSION) != NULL;
        }
      else if (line_length > 0)
        add_field (line, line_length, size);
      line = newline + 1;
      size->bytes = (size_t) (line - text);
      if (!is_first && line_length == 0)
        return true;
    }
  size->bytes = length;
  return false;
}

static bool
is_token (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i]) && strchr ("!#$%&'*+-.^_`|~", text[i]) == NULL)
      return false;
  return length > 0;
}

/* Removes a line from the start of [*TEXT, END).  Returns its length without CR and LF; -1: it does
 * not end with both, or has control characters. */
static gssize
take_line (const char **text, const char *end, const char **line)
{
  const char *newline = memchr (*text, '\n', (size_t) (end - *text));

  *line = *text;
  if (newline == NULL || newline == *text || newline[-1] != '\r')
    return -1;
  *text = newline + 1;
  for (const char *at = *line; at < newline - 1; at++)
    if (((unsigned char) *at < ' ' && *at != '\t') || *at == '\x7f')
      return -1;
  return newline - 1 - *line;
}

static bool
is_plain_request_line (const char *line, size_t length)
{
  static const char start[] = "GET /";
  static const char end[] = " HTTP/1.1";

  return length >= strlen (start) + strlen (end) && memcmp (line, start, strlen (start)) == 0
         && memcmp (line + length - strlen (end), end, strlen (end)) == 0
         && count_chars (line, length, ' ') == 2 && memchr (line, '\t', length) == NULL;
}

static bool
is_name (const char *line, size_t length, const char *name)
{
  return length == strlen (name) && g_ascii_strncasecmp (line, name, length) == 0;
}

/* Returns whether the value in [TEXT, END) of a field is VALUE, which may be NULL. */
static bool
has_value (const char *text, const char *end, const char *value)
{
  g_autofree char *stripped = g_strstrip (g_strndup (text, (gsize) (end - text)));

  return value != NULL && g_ascii_strcasecmp (stripped, value) == 0;
}

bool
pl_front_head_is_plain (const char *text, size_t length)
{
  /* Fields that change how a message is read, and the only value that leaves it plain. */
  static const struct
  {
    const char *name;
    const char *plain_value; /* NULL: none */
  } fields[] = {
      {"Connection", "keep-alive"},
      {"Content-Length", "0"},
      {"Expect", NULL},
      {"Trailer", NULL},
      {"Upgrade", NULL},
      {"Transfer-Encoding", NULL},
  };
  const char *end = text + length;
  const char *line;
  gssize line_length = take_line (&text, end, &line);
  int hosts = 0;

  if (line_length < 0 || !is_plain_request_line (line, (size_t) line_length))
    return false;
  while ((line_length = take_line (&text, end, &line)) > 0)
    {
      const char *colon = memchr (line, ':', (size_t) line_length);
      size_t name_length = colon != NULL ? (size_t) (colon - line) : 0;

      if (!is_token (line, name_length))
        return false;
      for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
        if (is_name (line, name_length, fields[i].name)
            && !has_value (colon + 1, line + line_length, fields[i].plain_value))
          return false;
      hosts += is_name (line, name_length, "Host");
    }
  return line_length == 0 && text == end && hosts == 1;
}
