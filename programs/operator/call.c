/* A call to the operators' port of an entry host, made with libcurl. */
#include "operator.h"

#include <curl/curl.h>

#define CALL_TIMEOUT_MS 15000L
#define CONNECT_TIMEOUT_MS 2000L

static size_t
append_bytes (char *bytes, size_t size, size_t count, void *data)
{
  g_string_append_len (data, bytes, (gssize) (size * count));
  return size * count;
}

json_t *
operator_call (const struct operator_settings *settings, const char *host, const char *method,
               const char *path, const char *body, size_t length, long *status)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", host, path);
  g_autofree char *authorization = g_strdup_printf ("Authorization: Bearer %s", settings->key);
  GString *answer = g_string_new (NULL);
  struct curl_slist *headers = curl_slist_append (NULL, authorization);
  CURL *easy = curl_easy_init ();
  json_t *json = NULL;
  CURLcode code;
  long sent = 0;

  headers = curl_slist_append (headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_bytes);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
  if (body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long) length);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
    }
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, status);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &sent);
  if (code != CURLE_OK)
    *status = sent > 0 ? -1 : 0;
  else
    json = json_loads (answer->str, 0, NULL);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  g_string_free (answer, TRUE);
  return json;
}
