/* Keeps callers' API keys out of requests to backend servers.
 *
 * Headers are filtered by an allowlist rather than a blocklist, so that a key in an unforeseen
 * header is not forwarded.  Query parameters that usually hold keys are removed.  If the
 * request's key still occurs anywhere in the target, the request is refused, not rewritten.
 */
#include "internal/keys.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

static const char *const allowed_headers[] = {
    "Accept",
    "Accept-Encoding",
    "Accept-Language",
    "Content-Encoding",
    "Content-Language",
    "Content-Type",
    "Idempotency-Key",
    "If-Match",
    "If-Modified-Since",
    "If-None-Match",
    "If-Unmodified-Since",
    "Range",
    "Traceparent",
    "User-Agent",
    "Digest",
};

static const char *const key_parameters[] = {
    "key", "api_key", "apikey", "api-key", "access_token", "token", "x-api-key", "authorization",
};

void
pl_key_hash (const char *key, size_t length, uint8_t hash[PL_KEY_HASH_BYTES])
{
  crypto_generichash (hash, PL_KEY_HASH_BYTES, (const uint8_t *) key, length, NULL, 0);
}

void
pl_key_hash_text (const char *key, char *text)
{
  uint8_t hash[PL_KEY_HASH_BYTES];

  pl_key_hash (key, strlen (key), hash);
  sodium_bin2hex (text, PL_KEY_HASH_BYTES * 2 + 1, hash, sizeof hash);
}

static bool
is_key_parameter (const char *parameter)
{
  g_autofree char *name = g_strndup (parameter, strcspn (parameter, "="));
  g_autofree char *plain = g_uri_unescape_string (name, NULL);

  /* A name that cannot be decoded cannot be checked, so the parameter is removed. */
  if (plain == NULL)
    return true;
  for (size_t i = 0; i < G_N_ELEMENTS (key_parameters); i++)
    if (g_ascii_strcasecmp (plain, key_parameters[i]) == 0)
      return true;
  return false;
}

char *
pl_key_strip_target (const char *target, const char *key)
{
  const char *query = strchr (target, '?');
  GString *out
      = g_string_new_len (target, query != NULL ? query - target : (gssize) strlen (target));
  g_auto (GStrv) parameters = g_strsplit (query != NULL ? query + 1 : "", "&", -1);
  g_autofree char *plain = NULL;
  char separator = '?';

  for (char **parameter = parameters; *parameter != NULL; parameter++)
    {
      if (**parameter == '\0' || is_key_parameter (*parameter))
        continue;
      g_string_append_c (out, separator);
      g_string_append (out, *parameter);
      separator = '&';
    }
  plain = g_uri_unescape_string (out->str, NULL);
  if (plain == NULL || (key != NULL && key[0] != '\0' && strstr (plain, key) != NULL))
    {
      g_string_free (out, TRUE);
      return NULL;
    }
  return g_string_free (out, FALSE);
}

bool
pl_key_header_is_allowed (const char *name, const char *value, const char *key)
{
  if (key != NULL && key[0] != '\0' && strstr (value, key) != NULL)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (allowed_headers); i++)
    if (g_ascii_strcasecmp (name, allowed_headers[i]) == 0)
      return true;
  return false;
}
