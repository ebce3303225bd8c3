/* Measures the heads of requests before libmicrohttpd reads them.
 *
 * libmicrohttpd keeps a record for each header field, query parameter and cookie, and a copy of
 * each Cookie field.  A head of many short fields therefore takes many times its own bytes.
 */
#include "internal/front.h"

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
