/* Operators: the releases that they post. */
#include "fleet_state.h"

#include <string.h>

void
fleet_submit_release (struct fleet *fleet, int host, const char *text)
{
  struct pl_findings *findings = pl_findings_new ("fleet");
  struct pl_release *release = pl_release_parse (text, strlen (text), findings);
  struct pl_event *event;

  if (release == NULL)
    {
      g_autofree char *list = pl_findings_format (findings);

      fleet_report_violation (fleet, "%s", list);
    }
  else if (fleet->current_processes[host] >= 0)
    {
      event = fleet_schedule_event (fleet, MS, fleet->current_processes[host], PL_EVENT_RELEASE);
      event->u.release.ticket = (uint64_t) ++fleet->release_number;
      event->u.release.release = release;
    }
  pl_findings_free (findings);
}

static char *
format_key_hash (int account)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < PL_KEY_HASH_BYTES; i++)
    g_string_append_printf (text, "%02x", account + 1);
  return g_string_free (text, FALSE);
}

char *
fleet_format_initial_release (void)
{
  GString *text = g_string_new ("release: first\nadded:\n");

  g_string_append (text, "  regions: [{name: n}, {name: s}]\n  domains:\n");
  for (int i = 0; i < DOMAINS; i++)
    g_string_append_printf (text, "    - {name: %s, region: %s}\n", domain_names[i],
                            i < 2 ? "n" : "s");
  g_string_append_printf (text,
                          "  links:\n    - {name: ns, from: n, to: s, bytes_per_second: %d}\n"
                          "    - {name: sn, from: s, to: n, bytes_per_second: %d}\n",
                          LINK_BYTES, LINK_BYTES);
  g_string_append (text, "  entry_hosts:\n");
  for (int i = 0; i < SPARE_HOST; i++)
    g_string_append_printf (text,
                            "    - {name: %s, domain: %s, caller: 1.1.1.1:1, peer: 1.1.1.1:2, "
                            "forward: 1.1.1.1:3}\n",
                            host_names[i], domain_names[host_domains[i]]);
  g_string_append (text, "  services: [{name: work}]\n  servers:\n");
  for (int i = 0; i < SERVERS; i++)
    g_string_append_printf (text,
                            "    - {name: server-%d, service: work, domain: %s, "
                            "address: 2.2.2.2:%d, slots: %d}\n",
                            i, domain_names[fleet_server_domain (i)], i + 1, SLOTS);
  g_string_append (
      text, "  routes:\n"
            "    - {name: r, path: /r, service: work, repeatable: true, answer_bytes: 1000}\n"
            "    - {name: u, path: /u, service: work, repeatable: false, "
            "answer_bytes: 1000}\n"
            "    - {name: o, path: /o, service: work, repeatable: true, open: true, "
            "answer_bytes: 1000}\n  accounts:\n");
  for (int i = 0; i < ACCOUNTS; i++)
    g_string_append_printf (text, "    - {name: account-%d, rate: %d, burst: %d}\n", i,
                            account_rates[i], account_bursts[i]);
  g_string_append (text, "  keys:\n");
  for (int i = 0; i < ACCOUNTS; i++)
    {
      g_autofree char *hash = format_key_hash (i);

      g_string_append_printf (text, "    - {name: key-%d, account: account-%d, hash: %s}\n", i, i,
                              hash);
    }
  return g_string_free (text, FALSE);
}

/* Two operators post releases at two hosts at once, so that both compete for the next version. */
void
fleet_race_releases (struct fleet *fleet, int subject)
{
  int number = fleet->release_number;
  g_autofree char *hash = format_key_hash (0);
  g_autofree char *first = NULL;
  g_autofree char *second = NULL;

  if (subject % 2 == 0)
    {
      bool withdrawn = fleet->key_withdrawn_us >= 0;

      first = withdrawn ? g_strdup_printf ("release: give-key-%d\nadded:\n  keys:\n    - "
                                           "{name: key-0, account: account-0, hash: %s}\n",
                                           number, hash)
                        : g_strdup_printf (
                            "release: withdraw-key-%d\nwithdrawn:\n  keys: [key-0]\n", number);
    }
  else
    {
      first
          = fleet->server_drained_us >= 0
                ? g_strdup_printf ("release: undrain-%d\nwithdrawn:\n  drains: [d]\n", number)
                : g_strdup_printf (
                    "release: drain-%d\nadded:\n  drains: [{name: d, server: server-0}]\n", number);
    }
  second
      = g_strdup_printf ("release: other-%d\nadded:\n  services: [{name: s-%d}]\n", number, number);
  fleet_submit_release (fleet, subject % SPARE_HOST, first);
  fleet_submit_release (fleet, (subject + 1) % SPARE_HOST, second);
}

void
fleet_resize_host_list (struct fleet *fleet, bool add_spare_host)
{
  g_autofree char *text = NULL;

  if (add_spare_host)
    text = g_strdup_printf ("release: grow-%d\nadded:\n  entry_hosts:\n    - {name: s-b-1, domain: "
                            "s-b, caller: 1.1.1.1:1, peer: 1.1.1.1:2, forward: 1.1.1.1:3}\n",
                            fleet->release_number);
  else
    text = g_strdup_printf ("release: shrink-%d\nwithdrawn:\n  entry_hosts: [s-b-1]\n",
                            fleet->release_number);
  fleet_submit_release (fleet, 0, text);
}
