/* Heads of HTTP/1 answers: see answer_head.h.
 *
 * Servers in trouble send heads with bytes missing, added or changed.  A head of which any line can
 * be read in more than one way is malformed, since the other reader, here libcurl, may choose the
 * other way.
 */
#include "internal/answer_head.h"

#include <string.h>

#define VERSION_START "HTTP/1."
#define STATUS_DIGITS 3

static bool
is_token_character (char character)
{
  return g_ascii_isalnum (character)
         || (character != '\0' && strchr ("!#$%&'*+-.^_`|~", character) != NULL);
}

static bool
is_control_character (char character)
{
  return ((unsigned char) character < ' ' && character != '\t') || character == '\x7f';
}

/* Returns the length of LINE without its line end; -1: it has none, or control characters before
 * it.  ENDS_WITH_CRLF: else the line ends with LF alone. */
static gssize
strip_line_end (const char *line, size_t length, bool *ends_with_crlf)
{
  if (length == 0 || line[length - 1] != '\n')
    return -1;
  *ends_with_crlf = length > 1 && line[length - 2] == '\r';
  length -= *ends_with_crlf ? 2 : 1;
  for (size_t i = 0; i < length; i++)
    if (is_control_character (line[i]))
      return -1;
  return (gssize) length;
}

/* Returns the status in a status line of LENGTH bytes without its line end; 0: it is none. */
static int
parse_status_line (const char *line, size_t length)
{
  const size_t start_length = strlen (VERSION_START);
  const char *digits = line + start_length + 2;
  int status = 0;

  /* "HTTP/1.1 200 OK": the reason may be empty, the space before it may not be missing. */
  if (length < start_length + 2 + STATUS_DIGITS + 1
      || memcmp (line, VERSION_START, start_length) != 0
      || (line[start_length] != '0' && line[start_length] != '1') || digits[-1] != ' '
      || digits[STATUS_DIGITS] != ' ')
    return 0;
  for (int i = 0; i < STATUS_DIGITS; i++)
    {
      if (!g_ascii_isdigit (digits[i]))
        return 0;
      status = status * 10 + g_ascii_digit_value (digits[i]);
    }
  return status >= PL_STATUS_INTERIM_MIN && status <= PL_STATUS_FINAL_MAX ? status : 0;
}

/* Returns whether a status line begins inside a line of a head.  Then a part of one answer is
 * joined with the next one. */
static bool
holds_status_line (const char *line, size_t length)
{
  static const char start[] = "HTTP/1.1 ";
  size_t start_length = strlen (start);

  for (size_t i = 1; i + start_length < length; i++)
    if (memcmp (line + i, start, start_length) == 0 && g_ascii_isdigit (line[i + start_length]))
      return true;
  return false;
}

/* Reads a field line of LENGTH bytes without its line end.  Returns false if it is none. */
static bool
parse_field (const char *line, size_t length, struct pl_answer_field *field)
{
  size_t name_length = 0;

  while (name_length < length && is_token_character (line[name_length]))
    name_length++;
  if (name_length == 0 || name_length == length || line[name_length] != ':')
    return false;
  field->text = g_strndup (line, length);
  field->text[name_length] = '\0';
  field->name = field->text;
  field->value = g_strstrip (field->text + name_length + 1);
  return true;
}

/* Returns false if FIELD is a length that is no number, or differs from an earlier one: libcurl
 * takes the last of several, and what it can read of one. */
static bool
read_framing (struct pl_answer_head *head, const struct pl_answer_field *field)
{
  guint64 number;

  head->is_encoded = head->is_encoded || g_ascii_strcasecmp (field->name, "Transfer-Encoding") == 0;
  if (g_ascii_strcasecmp (field->name, "Content-Length") != 0)
    return true;
  if (!g_ascii_string_to_unsigned (field->value, 10, 0, G_MAXINT64, &number, NULL)
      || (head->has_length && head->length != number))
    return false;
  head->has_length = true;
  head->length = number;
  return true;
}

static enum pl_answer_line
begin_head (struct pl_answer_head *head, const char *line, size_t length)
{
  int status = parse_status_line (line, length);

  if (status == 0)
    return PL_ANSWER_LINE_MALFORMED;
  *head = (struct pl_answer_head){.state = PL_ANSWER_HEAD_FIELDS, .status = status};
  return PL_ANSWER_LINE_STATUS;
}

enum pl_answer_line
pl_answer_head_read (struct pl_answer_head *head, const char *line, size_t length,
                     struct pl_answer_field *field)
{
  bool ends_with_crlf = false;
  gssize content_length = strip_line_end (line, length, &ends_with_crlf);
  struct pl_answer_field read;

  if (content_length < 0 || holds_status_line (line, length))
    return PL_ANSWER_LINE_MALFORMED;
  if (head->state == PL_ANSWER_HEAD_NONE
      || (head->state == PL_ANSWER_HEAD_COMPLETE && !pl_answer_head_is_final (head)))
    {
      enum pl_answer_line begun = begin_head (head, line, (size_t) content_length);

      head->ends_lines_with_crlf = ends_with_crlf;
      return begun;
    }
  /* One line with another end than the first has a byte too few, too many or replaced. */
  if (head->state == PL_ANSWER_HEAD_FIELDS && ends_with_crlf != head->ends_lines_with_crlf)
    return PL_ANSWER_LINE_MALFORMED;
  /* A CR of the first line that was replaced by LF would end the head there. */
  if (content_length == 0 && !ends_with_crlf && !head->has_fields)
    return PL_ANSWER_LINE_MALFORMED;
  if (content_length == 0)
    {
      head->state = PL_ANSWER_HEAD_COMPLETE;
      return PL_ANSWER_LINE_END;
    }
  if (!parse_field (line, (size_t) content_length, &read))
    return PL_ANSWER_LINE_MALFORMED;
  if (head->state == PL_ANSWER_HEAD_COMPLETE)
    {
      g_free (read.text);
      return PL_ANSWER_LINE_TRAILER;
    }
  head->has_fields = true;
  if (!read_framing (head, &read))
    {
      g_free (read.text);
      return PL_ANSWER_LINE_MALFORMED;
    }
  *field = read;
  return PL_ANSWER_LINE_FIELD;
}

bool
pl_answer_head_is_final (const struct pl_answer_head *head)
{
  return head->state == PL_ANSWER_HEAD_COMPLETE && head->status >= PL_STATUS_FINAL_MIN;
}
