/* Coverage-guided fuzzing (libFuzzer) of the parsers of untrusted input: releases in YAML and JSON,
 * peer batches and request targets, which must not crash on any input.  `make fuzz` builds it; run
 * it with -max_total_time=S.  The first byte selects the parser. */
#include "internal/keys.h"
#include "internal/peer_codec.h"
#include "pomelolatch/release.h"

#include <string.h>

/* The name is prescribed by libFuzzer. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
discard_message (void *data, struct pl_message *message)
{
  (void) data;
  pl_message_clear (message);
}

static void
parse_release (const char *text, size_t size)
{
  struct pl_findings *findings = pl_findings_new ("fuzz");
  struct pl_release *release = pl_release_parse (text, size, findings);
  json_t *empty = json_object ();
  json_t *document = NULL;
  char *list;

  if (release != NULL)
    document = pl_release_apply (empty, release, findings);
  if (document != NULL)
    pl_config_unref (pl_config_new (document, 1));
  list = pl_findings_format (findings);
  g_free (list);
  json_decref (document);
  json_decref (empty);
  pl_release_free (release);
  pl_findings_free (findings);
}

static void
parse_json_release (const char *text, size_t size)
{
  json_t *json = json_loadb (text, size, 0, NULL);
  struct pl_release *release = json != NULL ? pl_release_from_json (json) : NULL;
  struct pl_findings *findings = pl_findings_new ("fuzz");
  json_t *empty = json_object ();

  if (release != NULL)
    json_decref (pl_release_apply (empty, release, findings));
  pl_release_free (release);
  json_decref (json);
  json_decref (empty);
  pl_findings_free (findings);
}

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text;

  if (size < 1)
    return 0;
  text = g_strndup ((const char *) data + 1, size - 1);
  switch (data[0] % 4)
    {
    case 0:
      parse_release (text, strlen (text));
      break;
    case 1:
      pl_peer_decode ((const char *) data + 1, size - 1, 1, discard_message, NULL);
      break;
    case 2:
      g_free (pl_key_strip_target (text, "plk_secret"));
      break;
    default:
      parse_json_release (text, strlen (text));
      break;
    }
  g_free (text);
  return 0;
}
