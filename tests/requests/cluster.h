/** @file
 * Simulates a small cluster in virtual time: nodes built from the real
 * library, with simulated callers, endpoints and platform at their interfaces.
 * A run is a pure function of its seed.
 */
#ifndef TESTS_REQUESTS_CLUSTER_H
#define TESTS_REQUESTS_CLUSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/claims.h"
#include "beryl/holds.h"
#include "beryl/requests.h"
#include "beryl/router.h"
#include "history.h"
#include "store.h"

#define NODES 3
#define ENDPOINTS 12
#define JOBS_MAX 64
#define ATTEMPTS_MAX 12
#define TEXT_BYTES 96
#define STREAMS_MAX 64
/** How long callers cache a discovery answer. */
#define DISCOVERY_TTL_MS 1500
/** How long an unresponsive node stays a member. */
#define SUSPICION_MS 1000
/** Time after a caller has disconnected by which its engine memory must be
 * free. */
#define RELEASE_LIMIT_MS 8000

struct cluster;
struct task;

/** Called when a task is due. */
typedef void (*task_run) (struct cluster *cluster, const struct task *task);

/** A scheduled task.  Events of a connection that has closed or a process that
 * has ended are dropped. */
struct task
{
  int64_t at_ms;
  uint64_t order;
  task_run run;
  uint32_t node;
  uint64_t incarnation; /**< incarnation of the target node; 0: any */
  uint32_t a;           /**< arguments of RUN */
  uint32_t b;
  uint64_t number;
  struct beryl_event event; /**< event for a node; its strings are in TEXT */
  char text[TEXT_BYTES];
  struct beryl_claim_message claim;
  char *value; /**< value of a write, owned by the task */
};

/** State of one attempt of a job, as its caller sees it. */
struct call_attempt
{
  uint32_t node;
  uint64_t incarnation;
  uint64_t handle; /**< handle at the node; 0: not arrived or ended */
  bool fetch;
  bool final;   /**< the caller has its final answer or has disconnected */
  bool arrived; /**< a node has accepted the call */
  uint64_t received;
  uint32_t run_bytes;
};

/** What a caller wants, possibly over several attempts with one key. */
struct job
{
  struct history_job recorded;
  char service[BERYL_NAME_BYTES];
  char organisation[BERYL_NAME_BYTES];
  char key[64];
  char body[32];
  enum beryl_key_kind key_kind;
  uint64_t key_incarnation;
  bool stream;
  bool never_leaves; /**< the caller never disconnects on its own */
  bool shares_key;   /**< uses the same key text as the previous or next job */
  bool answered;     /**< the caller has received the complete answer */
  struct call_attempt attempts[ATTEMPTS_MAX];
  uint32_t attempt_count;
};

/** A connection between a node and an endpoint or another node. */
struct connection
{
  uint32_t node;
  uint64_t incarnation;
  uint64_t exchange;
  uint32_t endpoint; /**< ENDPOINTS: to another node */
  uint32_t job;
  uint32_t attempt; /**< attempt of the job */
  uint32_t decode_attempt;
  struct beryl_stream_id stream;
  char kv_endpoint[BERYL_NAME_BYTES];
  uint64_t offset;
  bool open; /**< the node still accepts events of it */
  bool paused;
  uint32_t peer;             /**< forwarded calls: target node */
  uint64_t peer_incarnation; /**< forwarded calls: target process */
  uint64_t peer_handle;      /**< forwarded calls: handle at the target node */
};

/** A stream and the engine memory that it holds. */
struct stream
{
  bool used;
  struct beryl_stream_id id;
  enum
  {
    STREAM_PREFILL,
    STREAM_EXPORTED,
    STREAM_DECODE
  } phase;
  uint32_t connection; /**< connection that receives its output */
  uint32_t job;
  uint32_t attempt;
  uint64_t produced;
  bool slow; /**< sends tokens seconds apart */
  char text[TEXT_BYTES];
  uint64_t generation; /**< changes whenever the slot is reused */
};

/** A simulated endpoint with its true state. */
struct endpoint
{
  const char *name;
  bool up;
  bool leaving;
  uint64_t restarts; /**< incremented at each crash */
  struct stream streams[STREAMS_MAX];
};

/** One node: both daemons of an instance. */
struct node
{
  struct cluster *cluster;
  uint32_t number;
  char name[BERYL_NAME_BYTES];
  bool up;
  bool leaving;
  bool drained;
  int64_t leave_ms;
  int64_t suspended_until_ms;
  int64_t suspended_from_ms;
  uint64_t incarnation;
  struct beryl_requests_owner requests_owner;
  struct beryl_claims_owner claims_owner;
  struct beryl_router *router;
  struct beryl_requests *requests;
  struct beryl_claims *claims;
  struct beryl_hold_windows *windows;
  struct beryl_config config; /**< own copy, since the nodes learn of
                                   leaving endpoints at different times */
  struct beryl_endpoint endpoints[ENDPOINTS];
  int64_t tick_ms; /**< when the scheduled tick is due; 0: none */
  uint64_t last_handle;
  /* State of the control daemon, which outlives the process. */
  struct beryl_hold_window reported[ENDPOINTS];
  struct beryl_hold_cleanup *cleanup;
};

/** Faults of a run, chosen by the seed. */
struct faults
{
  uint32_t loss_percent;       /**< lost peer messages and cancels */
  uint32_t refuse_percent;     /**< calls refused by endpoints */
  uint32_t disconnect_percent; /**< engine connections broken */
  uint32_t reorder_percent;    /**< answer pieces delayed */
  uint32_t leave_percent;      /**< callers that disconnect early */
  bool free_keys;              /**< all calls go to service letters and use
                                    free keys */
  bool crashes;
  bool endpoint_crashes;
  bool suspensions;
  bool partitions;
  bool outages;
  bool lost_replies;
  bool stale_reads;
  bool shutdowns;
  bool leaving;
};

/** State of a simulation. */
struct cluster
{
  uint64_t random;
  int64_t now_ms;
  int64_t end_ms;
  struct task *heap;
  size_t heap_count;
  size_t heap_capacity;
  uint64_t last_order;
  struct faults faults;
  struct node nodes[NODES];
  struct endpoint endpoints[ENDPOINTS];
  struct job jobs[JOBS_MAX];
  uint32_t job_count;
  struct connection *connections;
  uint32_t connection_count;
  uint32_t run_count;
  uint64_t last_incarnation;
  uint64_t last_generation;
  struct store *store;
  bool outage;
  uint32_t stale_ms;
  uint32_t isolated; /**< node isolated from peers and platform; NODES: none */
  struct history *history;
  uint32_t events;
};

/** Run the simulation of SEED.  Returns its history, which the caller
 * frees. */
struct history *cluster_run (uint64_t seed);

/** As cluster_run, limited to the faults in MASK (1 << n for the n-th bool of
 * struct faults after free_keys). */
struct history *cluster_run_with_faults (uint64_t seed, uint32_t mask);

/* cluster.c */
uint64_t cluster_random (struct cluster *cluster, uint64_t below);
bool cluster_chance (struct cluster *cluster, uint32_t percent);
void cluster_schedule (struct cluster *cluster, int64_t delay_ms,
                       struct task *task);
int64_t cluster_delay_ms (struct cluster *cluster);
void cluster_record (struct cluster *cluster,
                     const struct history_event *event);

/* cluster_nodes.c */
void node_start (struct cluster *cluster, uint32_t number);
void node_kill (struct cluster *cluster, uint32_t number, bool planned);
void node_deliver_event (struct cluster *cluster, const struct task *task);
void node_schedule (struct node *node);
void node_set_members (struct cluster *cluster);
struct node *node_find (struct cluster *cluster, uint32_t number,
                        uint64_t incarnation);
bool node_is_isolated (const struct cluster *cluster, uint32_t number);
void node_free (struct node *node);

/* cluster_actions.c */
int64_t cluster_call_delay_ms (struct cluster *cluster);
extern const struct beryl_requests_owner_impl cluster_requests_impl;

/* cluster_peers.c: calls forwarded between nodes */
void peer_forward (struct node *node, const struct beryl_action *action);
bool peer_reply (struct node *node, const struct beryl_action *action);
void peer_caller_gone (struct cluster *cluster, struct connection *c);
void peer_connections_lost (struct cluster *cluster, uint32_t number,
                            uint64_t incarnation);

/* cluster_platform.c */
extern const struct beryl_claims_owner_impl cluster_claims_impl;

/* cluster_endpoints.c */
uint32_t endpoint_number (const char *name);
void endpoint_receive (struct cluster *cluster, const struct task *task);
void endpoint_send (struct cluster *cluster, uint32_t connection,
                    struct task *task, bool reorder);
void endpoint_crash (struct cluster *cluster, uint32_t number);
void endpoint_restart (struct cluster *cluster, const struct task *task);
void endpoint_cancel (struct cluster *cluster, uint32_t number,
                      uint64_t incarnation, uint64_t from, uint64_t to);
uint64_t endpoint_held (const struct cluster *cluster, uint32_t number,
                        uint64_t incarnation, uint64_t from, uint64_t to);
void endpoint_record_leaks (struct cluster *cluster);
void endpoint_record_leaks_for (struct cluster *cluster, uint32_t job,
                                uint32_t attempt);
void endpoint_resume_reading (struct cluster *cluster, uint32_t connection);

/* cluster_callers.c */
void callers_start (struct cluster *cluster, uint32_t job_count);
void caller_reply (struct node *node, const struct beryl_action *action);
void caller_connections_lost (struct cluster *cluster, uint32_t number,
                              bool planned);
void callers_record_unanswered (struct cluster *cluster);

/* cluster_faults.c */
void faults_choose (struct cluster *cluster, uint32_t mask);
void faults_schedule (struct cluster *cluster);
void control_daemon_on_death (struct cluster *cluster, uint32_t number,
                              uint64_t incarnation);

#endif
