/** @file
 * Internal state of the planner.
 */
#ifndef LIBBERYL_PLANNER_PRIVATE_H
#define LIBBERYL_PLANNER_PRIVATE_H

#include "beryl/planner.h"

/** Engine with its reported and ordered state. */
struct engine
{
  const struct beryl_endpoint *endpoint; /* its configuration */
  char name[BERYL_NAME_BYTES];
  char model[BERYL_NAME_BYTES];
  char version[BERYL_NAME_BYTES];
  enum beryl_role role;
  bool loading;
  bool ready;
  bool responding; /* has answered its last state query */
  /* The current order. */
  char ordered_model[BERYL_NAME_BYTES];
  char ordered_version[BERYL_NAME_BYTES];
  enum beryl_role ordered_role;
  bool ordered;
  const char *reason;
  int64_t order_sent_ms; /* when it was last sent; 0: not yet */
};

/** Demand of one service at one node. */
struct node_demand
{
  char node[BERYL_NAME_BYTES];
  uint32_t waiting;
  uint32_t running;
  int64_t reported_ms;
};

#define DEMAND_NODES_MAX 512

/** One model service. */
struct service
{
  char name[BERYL_NAME_BYTES];
  const struct beryl_service *config;
  const struct beryl_model *model;
  struct beryl_sizer *decode_sizer;
  struct beryl_sizer *prefill_sizer;
  struct node_demand *nodes;
  size_t node_count;
  bool reported;         /* at least one node has reported demand */
  uint64_t step_tokens;  /* prompt tokens in this step */
  uint64_t step_arrived; /* calls in this step; not used */
  double load_sum;       /* sum of running and waiting calls over the step's
                               samples */
  uint32_t load_samples; /* number of samples in load_sum */
  int64_t step_end_ms;
  int64_t last_demand_ms; /* time of the last demand */
  double decode_load;     /* predicted, in concurrent streams */
  double prefill_load;    /* predicted, in engines */
  uint32_t target;        /* target number of engines */
  uint32_t target_prefill;
  double running_mean;      /* exponential moving average of the running calls,
                               against the noise of single calls */
  int64_t surplus_since_ms; /* start of the surplus; 0: none */
  uint32_t surplus_peak;    /* highest target since then */
};

struct beryl_planner
{
  struct beryl_planner_owner *owner;
  struct beryl_planner_settings settings;
  const struct beryl_config *config;
  struct engine *engines;
  size_t engine_count;
  struct service *services;
  size_t service_count;
  int64_t
      next_load_ms; /* earliest start of the next load from the weight store */
};

/** Return the service with this name, or NULL. */
struct service *planner_service (const struct beryl_planner *p,
                                 const char *name);

/** Copy a name, truncated if needed; NULL gives "". */
void planner_copy_name (char to[BERYL_NAME_BYTES], const char *from);

/** Update the target numbers of engines of SERVICE. */
void service_size (struct beryl_planner *p, struct service *s, int64_t now_ms);

/** Order the changes that bring SERVICE's engines to the targets. */
void service_arrange (struct beryl_planner *p, struct service *s,
                      int64_t now_ms);

/** Return whether ENGINE is warm for the service's model in any version. */
bool engine_is_warm (const struct engine *e, const struct service *s);

#endif
