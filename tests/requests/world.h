/** @file
 * A few nodes made of the real library parts, with fake callers, endpoints
 * and platform at their interfaces, in virtual time.  A run is a pure
 * function of its seed.
 */
#ifndef TESTS_WORLD_H
#define TESTS_WORLD_H

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
#define TRIES_MAX 12
#define TEXT_BYTES 96
#define STREAMS_MAX 64
/** How long callers keep a discovery answer. */
#define DISCOVERY_TTL_MS 1500
/** How long a silent node stays a member. */
#define SUSPICION_MS 1000
/** Engine memory is free so long after its caller has gone. */
#define RELEASE_MS 8000

struct world;
struct task;

/** What a task does when its time has come. */
typedef void (*task_run) (struct world *world, const struct task *task);

/** Something that happens later.  Events of a conversation that ends or a
 * process that dies find nobody and are lost. */
struct task
{
  int64_t at_ms;
  uint64_t order;
  task_run run;
  uint32_t node;
  uint64_t incarnation; /**< of the node it is for; 0: any */
  uint32_t a;
  uint32_t b;
  uint64_t number;
  struct beryl_event event; /**< for a node; texts are in TEXT */
  char text[TEXT_BYTES];
  struct beryl_claim_message claim;
  char *value; /**< of a write, owned */
};

/** How one try of a job stands, as its caller sees it. */
struct
try
  {
    uint32_t node;
    uint64_t incarnation;
    uint64_t handle; /**< 0: not there yet or ended */
    bool fetch;
    bool final;   /**< the caller has its answer, or has left */
    bool arrived; /**< a node has taken the call */
    uint64_t received;
    uint32_t run_bytes;
  };

/** A caller's wish. */
struct job
{
  struct history_job facts;
  char service[BERYL_NAME_BYTES];
  char organisation[BERYL_NAME_BYTES];
  char key[64];
  char body[32];
  enum beryl_key_kind key_kind;
  uint64_t key_incarnation;
  bool stream;
  bool patient; /**< does not leave by itself */
  bool paired;  /**< shares its key's text with the job before or after */
  bool whole;   /**< the caller has the whole answer */
  struct try tries[TRIES_MAX];
  uint32_t try_count;
};

/** A conversation between a node and an endpoint or another node. */
struct conversation
{
  uint32_t node;
  uint64_t incarnation;
  uint64_t exchange;
  uint32_t endpoint; /**< ENDPOINTS: another node */
  uint32_t job;
  uint32_t attempt; /**< the job's try */
  uint32_t decode_attempt;
  struct beryl_stream_id stream;
  char kv_endpoint[BERYL_NAME_BYTES];
  uint64_t offset;
  bool open; /**< the node still listens */
  bool paused;
  uint32_t peer;             /**< forwarded: to this node */
  uint64_t peer_incarnation; /**< and this process */
  uint64_t peer_handle;      /**< as this call */
};

/** Engine memory that a stream holds. */
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
  uint32_t conversation; /**< whom it answers */
  uint32_t job;
  uint32_t attempt;
  uint64_t produced;
  bool slow; /**< seconds between tokens */
  char text[TEXT_BYTES];
  uint64_t generation; /**< changes when it is used anew */
};

/** An endpoint and its ground truth. */
struct endpoint
{
  const char *name;
  bool up;
  bool leaving;
  uint64_t life; /**< counts its restarts */
  struct stream streams[STREAMS_MAX];
};

/** One node: both daemons of an instance. */
struct node
{
  struct world *world;
  uint32_t number;
  char name[BERYL_NAME_BYTES];
  bool up;
  bool leaving;
  bool drained;
  int64_t leave_ms;
  int64_t paused_until_ms;
  int64_t paused_from_ms;
  uint64_t incarnation;
  struct beryl_requests_owner requests_owner;
  struct beryl_claims_owner claims_owner;
  struct beryl_router *router;
  struct beryl_requests *requests;
  struct beryl_claims *claims;
  struct beryl_hold_windows *windows;
  struct beryl_config config; /**< endpoints' leaving states differ */
  struct beryl_endpoint endpoints[ENDPOINTS];
  int64_t tick_ms; /**< of the tick that is scheduled */
  uint64_t last_handle;
  /* The keeper's side: outlives the process. */
  struct beryl_hold_window told[ENDPOINTS];
  struct beryl_hold_cleanup *cleanup;
};

/** How bad a run is; chosen by the seed. */
struct faults
{
  uint32_t lose_percent;    /**< peer messages and cancels */
  uint32_t refuse_percent;  /**< of calls at endpoints */
  uint32_t cut_percent;     /**< of engine conversations */
  uint32_t reorder_percent; /**< of answer pieces */
  uint32_t leave_percent;   /**< of callers leave early */
  bool free_keys;           /**< only letters, with free keys */
  bool crashes;
  bool endpoint_crashes;
  bool pauses;
  bool partitions;
  bool outages;
  bool lost_replies;
  bool stale_reads;
  bool stops;
  bool leaving;
};

/** Everything. */
struct world
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
  struct conversation *conversations;
  uint32_t conversation_count;
  uint32_t run_count;
  uint64_t last_incarnation;
  uint64_t generations;
  struct store *store;
  bool outage;
  uint32_t stale_ms;
  uint32_t cut_off; /**< a node without peers and platform; NODES: none */
  struct history *history;
  uint32_t events;
};

/** Run the world of SEED into a new history, which the caller releases. */
struct history *world_run (uint64_t seed);

/** Run a chosen kind of world: MASK names the faults (1 << n for the n-th
 * bool of struct faults). */
struct history *world_run_with (uint64_t seed, uint32_t mask);

/* world.c */
uint64_t world_random (struct world *world, uint64_t below);
bool world_chance (struct world *world, uint32_t percent);
void world_after (struct world *world, int64_t delay_ms, struct task *task);
int64_t world_delay_ms (struct world *world);
void world_note (struct world *world, const struct history_event *event);

/* world_node.c */
void node_start (struct world *world, uint32_t number);
void node_kill (struct world *world, uint32_t number, bool planned);
void node_event (struct world *world, const struct task *task);
void node_schedule (struct node *node);
void node_set_members (struct world *world);
struct node *node_of (struct world *world, uint32_t number,
                      uint64_t incarnation);
bool node_cut_off (const struct world *world, uint32_t number);
void node_free (struct node *node);

/* world_act.c */
int64_t world_flight_ms (struct world *world);
extern const struct beryl_requests_owner_impl world_requests_impl;

/* world_peer.c: between nodes */
void peer_forward (struct node *node, const struct beryl_action *action);
bool peer_reply (struct node *node, const struct beryl_action *action);
void peer_caller_gone (struct world *world, struct conversation *c);
void peer_broken (struct world *world, uint32_t number, uint64_t incarnation);

/* world_platform.c */
extern const struct beryl_claims_owner_impl world_claims_impl;

/* world_endpoint.c */
uint32_t endpoint_number (const char *name);
void endpoint_arrive (struct world *world, const struct task *task);
void endpoint_send (struct world *world, uint32_t conversation,
                    struct task *task, bool reorder);
void endpoint_crash (struct world *world, uint32_t number);
void endpoint_restart (struct world *world, const struct task *task);
void endpoint_cancel (struct world *world, uint32_t number,
                      uint64_t incarnation, uint64_t from, uint64_t to);
uint64_t endpoint_held (const struct world *world, uint32_t number,
                        uint64_t incarnation, uint64_t from, uint64_t to);
void endpoint_note_held (struct world *world);
void endpoint_note_held_for (struct world *world, uint32_t job,
                             uint32_t attempt);
void endpoint_resume_reading (struct world *world, uint32_t conversation);

/* world_caller.c */
void caller_begin (struct world *world, uint32_t job_count);
void caller_reply (struct node *node, const struct beryl_action *action);
void caller_broken (struct world *world, uint32_t number, bool planned);
void caller_note_late (struct world *world);

/* world_faults.c */
void faults_choose (struct world *world, uint32_t mask);
void faults_schedule (struct world *world);
void keeper_after_death (struct world *world, uint32_t number,
                         uint64_t incarnation);

#endif
