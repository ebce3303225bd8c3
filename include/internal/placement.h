/* placement.h - backend servers as this host sees them, and the choice among them.
 *
 * API tier: private.
 *
 * Links without I/O and knows nothing of requests' lives: a caller describes
 * what has to be placed, and reports what became of it.
 */
#ifndef POMELOLATCH_PLACEMENT_H
#define POMELOLATCH_PLACEMENT_H

#include "pomelolatch/event.h"

#define PL_SERVER_ID_CHARS 64
#define PL_TRIED_MAX 8
#define PL_PLACEMENT_REGIONS_MAX 32
/* The first server for an object, and two that may take its overflow. */
#define PL_PLACEMENT_RANKED_MAX 3

/* What is registered of a server. */
struct pl_server_entry
{
  char id[PL_SERVER_ID_CHARS];
  char service[PL_ID_CHARS];
  char address[PL_ADDRESS_CHARS];
  char domain[PL_ID_CHARS];
  int slots;
  bool draining;
  int64_t cold_us; /* how much longer it is cold; 0: it is not */
  int64_t born;    /* tells one start of a server from the next; 0: not told */
};

struct pl_backend
{
  struct pl_server_entry entry;
  uint64_t hash;
  int region;
  bool is_near;    /* in this host's domain */
  int64_t gone_us; /* from then on it is not used; INT64_MAX: it is listed */
  int64_t cold_until_us;
  double cold_tokens;
  int64_t cold_refilled_us;
  /* load */
  int in_flight;       /* from this host */
  int64_t progress_us; /* when one of them last ended, or the first was sent */
  int reported;        /* running and waiting there, as it last said */
  int own_at_report;   /* in flight from this host at that time */
  int64_t reported_us;
  int slots_reported; /* 0: not told */
  /* health */
  int failures; /* in a row */
  int64_t down_until_us;
  bool on_trial; /* it was down; one request or a probe finds out whether it still is */
  bool probe_open;
  double failure_part; /* of the latest answers, 0 to 1 */
  int64_t picked_us;
  double work_us;      /* of one request without waiting, smoothed; 0: not known */
  double load_at_send; /* in slots, of the request sent last */
};

/* What a region has to serve that may not go elsewhere. */
struct pl_placement_region
{
  double homed; /* requests bound to it, of the latest */
  int slots;
  bool reserved; /* its servers are left to those requests */
};

struct pl_placement_service
{
  char name[PL_ID_CHARS];
  GPtrArray *backends; /* of struct pl_backend */
  double work_us;      /* smoothed over all its servers; 0: none yet */
  double failure_part; /* smoothed over all its servers */
  double late_part;    /* of the answers, smoothed */
  double asked;        /* requests, of the latest */
  struct pl_placement_region regions[PL_PLACEMENT_REGIONS_MAX];
  int64_t regions_due_us; /* when the reservations are judged next */
  int64_t cold_time_us;
  double cold_per_second;
};

struct pl_placement
{
  GHashTable *backends;     /* id -> struct pl_backend */
  GHashTable *services;     /* name -> struct pl_placement_service */
  GHashTable *evacuated;    /* domain name -> itself */
  char domain[PL_ID_CHARS]; /* of this host */
  int region;
};

/* What has to be placed. */
struct pl_placement_wish
{
  const char *service;
  uint64_t object;           /* hash of the object concerned; 0: none */
  bool is_large;             /* its bytes are dear to carry far */
  int64_t objective_us;      /* a queue is used as far as the answer is not much later */
  int64_t time_us;           /* until the caller or the route's timeout ends it */
  bool only_tried_and_sound; /* it may run once only: not where a server is on trial */
  bool has_homes;
  uint32_t homes;
  const uint64_t *tried; /* hashes of servers that are not asked again */
  int tried_count;
};

enum pl_placement_verdict
{
  PL_PLACED,
  PL_PLACE_FULL, /* there are servers, none has room now */
  PL_PLACE_NONE, /* there is no server that may run it */
};

void pl_placement_init (struct pl_placement *placement, const char *domain, int region);
void pl_placement_clear (struct pl_placement *placement);

/* Sets how cold servers of the service NAME are treated. */
void pl_placement_set_service (struct pl_placement *placement, const char *name,
                               int64_t cold_time_us, double cold_per_second);

/* Takes an entry.  AT_START: it was there before this host was, so its start is not news. */
struct pl_backend *pl_placement_put (struct pl_placement *placement,
                                     const struct pl_server_entry *entry, int region, bool at_start,
                                     int64_t now_us);

/* The entry ID is gone; the server is used until USE_UNTIL_US. */
void pl_placement_drop (struct pl_placement *placement, const char *id, int64_t use_until_us);
void pl_placement_evacuate (struct pl_placement *placement, const char *domain, bool on);
struct pl_backend *pl_placement_find (struct pl_placement *placement, const char *id);

/* Returns the part of a cold server's rate that this host may use, 0 to 1. */
typedef double (*pl_cold_share) (void *data, const struct pl_backend *backend,
                                 double cold_per_second);

/* What was chosen. */
struct pl_placement_choice
{
  struct pl_backend *backend; /* PL_PLACED: now counted as in flight there */
  /* PL_PLACE_FULL: hashes of the servers that the request waits for; none: any of the service */
  uint64_t awaited[PL_PLACEMENT_RANKED_MAX];
  int awaited_count;
};

/* Chooses a server.  COLD_SHARE NULL: no other host uses cold servers. */
enum pl_placement_verdict pl_placement_choose (struct pl_placement *placement,
                                               const struct pl_placement_wish *wish,
                                               pl_cold_share cold_share, void *data,
                                               struct pl_placement_choice *choice, int64_t now_us);

/* Returns whether BACKEND may still be used for new requests. */
bool pl_placement_is_listed (const struct pl_placement *placement, const struct pl_backend *backend,
                             int64_t now_us);

/* How a server answered. */
struct pl_placement_answer
{
  bool failed;
  bool late;          /* later than the latency objective, from when it was sent */
  int64_t latency_us; /* 0: not known */
  double load;        /* of the server, in slots, when the request was sent */
};

void pl_placement_note_answer (struct pl_placement *placement, struct pl_backend *backend,
                               const struct pl_placement_answer *answer);
/* It turned a request away; SAYS_LOAD: and said how busy it is, which counts then. */
void pl_placement_note_full (struct pl_placement *placement, struct pl_backend *backend,
                             bool says_load, int64_t now_us);
/* Returns whether the server now counts as down. */
bool pl_placement_note_broken (struct pl_placement *placement, struct pl_backend *backend,
                               bool not_reached, int64_t now_us);
void pl_placement_note_load (struct pl_backend *backend, int running, int waiting, int slots,
                             int64_t now_us);
void pl_placement_note_probe (struct pl_placement *placement, struct pl_backend *backend, bool well,
                              int64_t cold_us, int64_t now_us);

/* Returns a server whose pause is over and that a probe should find out about, or NULL. */
struct pl_backend *pl_placement_to_probe (struct pl_placement *placement, int64_t now_us);

/* Frees what is gone and has nothing in flight. */
void pl_placement_expire (struct pl_placement *placement, int64_t now_us);

#endif
