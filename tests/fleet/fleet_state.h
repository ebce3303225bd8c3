/* fleet_state.h - state of the simulation, shared by the files of this folder.
 *
 * API tier: private.
 */
#ifndef FLEET_STATE_H
#define FLEET_STATE_H

#include "fleet.h"

#include "pomelolatch/error.h"
#include "pomelolatch/release.h"

#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define HOSTS 5
#define SPARE_HOST 4 /* releases add it to the host list and withdraw it */
#define PROCESSES_MAX 96
#define DOMAINS 4
#define SERVERS 8
#define SLOTS 3
#define ACCOUNTS 3
#define OPERATIONS_MAX 40000
#define TICK_US (10 * MS)
#define RECOVERY_US (14 * SECOND)        /* length of the recovery period, after the last fault */
#define RELEASE_IN_FORCE_US (3 * SECOND) /* by then each host applies a release */
#define LINK_BYTES 200000                /* limit of a link, per second and at once */
#define BODY_BYTES 2000
#define HEAD_BYTES 1024 /* for the headers of a forwarded request, as in core_steering.c */
/* Fingerprint of all requests that crash servers.  Those of other requests are above 1000. */
#define CRASHING_FINGERPRINT 666

extern const char *const host_names[HOSTS];
extern const char *const domain_names[DOMAINS];
extern const int host_domains[HOSTS];
extern const int account_rates[ACCOUNTS];
extern const int account_bursts[ACCOUNTS];

struct process
{
  struct pl_core *core;
  int host;
  uint64_t nonce;
  bool alive;
  int64_t clock_offset_us; /* its clock's difference to virtual time */
  int64_t paused_until_us;
  int64_t version;
};

enum item_type
{
  ITEM_EVENT,
  ITEM_FAULT_BEGIN,
  ITEM_FAULT_END,
  ITEM_ARRIVAL,
  ITEM_RUN_END,
  ITEM_STORE_APPLY,
  ITEM_SERVER_UP,
  ITEM_EXECUTE, /* an effect of a process that was paused between decision and execution */
};

struct run_end
{
  int server;
  uint64_t request;
  uint32_t attempt;
  int process;
  uint64_t generation;
  enum pl_outcome outcome;
};

struct item
{
  int64_t at_us;
  uint64_t order; /* among items with the same time */
  enum item_type type;
  int process;
  struct pl_event event;
  const struct fleet_fault *fault;
  struct run_end run;
  struct pl_store_request *store;
  bool lose_answer;
  bool store_call_timed_out; /* the host already got a timeout as the result; the answer is dropped
                              */
  struct pl_effect *effect;
  int64_t decided_us;
};

/* A request at one host.  A forwarded request has one at each host that it reaches. */
struct call
{
  int process;   /* at which it arrived */
  int account;   /* -1: none */
  int operation; /* -1: repeatable */
  int origin;    /* request id at the host that forwarded it; -1: not forwarded */
  uint32_t origin_attempt;
  uint64_t runs;
  bool ended;
  bool reported_not_run; /* refused with "not run" */
  bool crashes_server;
  bool is_final_check; /* sent after the recovery period: must be served */
  bool within_rate;    /* arrived within its account's rate and burst */
  int64_t sent_us;
};

struct operation
{
  int runs;
};

struct server
{
  int in_flight;
  bool down;
  bool silent;
  uint64_t generation; /* number of its crashes */
};

struct fleet
{
  const struct fleet_options *options;
  struct fleet_result *result;
  GRand *random;
  GSequence *queue;
  uint64_t next_order;
  int64_t now_us;
  int process_count;
  struct process processes[PROCESSES_MAX];
  int current_processes[HOSTS]; /* index in processes; -1: none */
  bool domain_partitioned[DOMAINS];
  bool store_down;
  bool store_loses_answers;
  bool network_is_lossy;
  int active_faults;
  int64_t last_fault_end_us;
  int64_t arrivals_end_us;
  struct server servers[SERVERS];
  GArray *calls; /* of struct call */
  struct operation operations[OPERATIONS_MAX];
  int operation_count;
  /* The store. */
  int64_t head;
  GPtrArray *releases;     /* JSON */
  GHashTable *release_ids; /* id -> "digest version" */
  json_t *document;
  struct
  {
    uint64_t nonce;
    uint64_t incarnation;
    int64_t version;
    bool released;
  } name_rows[HOSTS];
  GHashTable *claims; /* row -> "nonce request state" */
  /* The oracle. */
  double tokens[ACCOUNTS];
  int64_t filled_us[ACCOUNTS];
  double steady_tokens[ACCOUNTS];
  int64_t steady_filled_us[ACCOUNTS];
  double link_tokens[2];
  int64_t link_filled_us[2];
  int64_t key_withdrawn_us;  /* when the key of account 0 was withdrawn; -1: it is valid */
  int64_t server_drained_us; /* when server 0 was drained; -1: it is in use */
  int release_number;
  int flood_host; /* -1: none */
  /* Host that gets all requests of an account, so that it needs loans; negative: any host. */
  int account_hosts[ACCOUNTS];
  bool crashing_request_enabled;
  bool crashing_request_pending; /* its caller resends it only after it has ended */
  GHashTable *crashed_servers;
  int final_checks_pending;
  bool in_final_check; /* no random errors are injected */
};

/* scheduler.c */
double fleet_random_double (struct fleet *fleet);
int fleet_random_int (struct fleet *fleet, int below);
void fleet_report_violation (struct fleet *fleet, const char *format, ...) G_GNUC_PRINTF (2, 3);
void fleet_trace (const struct fleet *fleet, const char *format, ...) G_GNUC_PRINTF (2, 3);
struct item *fleet_schedule (struct fleet *fleet, int64_t delay_us, enum item_type type);
struct pl_event *fleet_schedule_event (struct fleet *fleet, int64_t delay_us, int process,
                                       enum pl_event_type type);
struct call *fleet_get_call (struct fleet *fleet, uint64_t request);
bool fleet_is_stable (const struct fleet *fleet, int64_t since_us);

/* oracle.c */
void fleet_oracle_check_rate (struct fleet *fleet, int account);
void fleet_oracle_check_run (struct fleet *fleet, struct call *call, int server,
                             int64_t decided_us);
void fleet_oracle_check_refusal (struct fleet *fleet, struct call *call,
                                 const struct pl_effect *effect);
void fleet_oracle_check_link (struct fleet *fleet, int direction, int64_t bytes);

/* store.c */
void fleet_handle_store_apply (struct fleet *fleet, struct item *item);
struct pl_store_event fleet_make_store_failure (const struct pl_store_request *request, int result);
void fleet_call_store (struct fleet *fleet, int process, struct pl_effect *effect);

/* servers.c */
int fleet_server_domain (int server);
int fleet_server_by_id (uint64_t id);
void fleet_schedule_outcome (struct fleet *fleet, int64_t delay_us, int process, uint64_t request,
                             uint32_t attempt, enum pl_outcome outcome);
void fleet_crash_server (struct fleet *fleet, int server);
void fleet_dispatch (struct fleet *fleet, int process, const struct pl_effect *effect,
                     int64_t decided_us);
void fleet_handle_run_end (struct fleet *fleet, const struct run_end *run);

/* messages.c */
int fleet_host_by_id (uint64_t id);
void fleet_send_message (struct fleet *fleet, int process, struct pl_effect *effect);
uint64_t fleet_add_call (struct fleet *fleet, const struct call *call);
void fleet_forward (struct fleet *fleet, int process, const struct pl_effect *effect);
void fleet_answer_origin (struct fleet *fleet, struct call *call, enum pl_outcome outcome);

/* callers.c */
void fleet_send_request (struct fleet *fleet, int host, const struct call *call);
void fleet_handle_steady_arrival (struct fleet *fleet);
void fleet_handle_arrival (struct fleet *fleet);

/* processes.c */
void fleet_start_process (struct fleet *fleet, int host);
void fleet_execute_effect (struct fleet *fleet, int process_index, struct pl_effect *effect,
                           int64_t decided_us);
void fleet_handle_event (struct fleet *fleet, struct item *item);

/* releases.c */
void fleet_submit_release (struct fleet *fleet, int host, const char *text);
char *fleet_format_initial_release (void);
void fleet_race_releases (struct fleet *fleet, int subject);
void fleet_resize_host_list (struct fleet *fleet, bool add_spare_host);

/* faults.c */
void fleet_begin_fault (struct fleet *fleet, const struct fleet_fault *fault);
void fleet_end_fault (struct fleet *fleet, const struct fleet_fault *fault);

#endif
