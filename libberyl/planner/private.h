/** @file
 * Engines and services as the planner sees them.
 */
#ifndef LIBBERYL_PLANNER_PRIVATE_H
#define LIBBERYL_PLANNER_PRIVATE_H

#include "beryl/planner.h"

/** One engine. */
struct engine
{
  const struct beryl_endpoint *endpoint; /* of the configuration */
  char name[BERYL_NAME_BYTES];
  char model[BERYL_NAME_BYTES];
  char version[BERYL_NAME_BYTES];
  enum beryl_role role;
  bool loading;
  bool ready;
  bool known; /* has answered */
  /* The order that is on its way. */
  char ordered_model[BERYL_NAME_BYTES];
  char ordered_version[BERYL_NAME_BYTES];
  enum beryl_role ordered_role;
  bool ordered;
  const char *reason;
  int64_t order_sent_ms; /* last sending */
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
  bool reported;         /* some node has told its demand */
  uint64_t step_tokens;  /* prompt tokens in this step */
  uint64_t step_arrived; /* calls in this step */
  double running_sum;    /* for the mean of the step */
  uint32_t running_count;
  int64_t step_end_ms;
  int64_t last_demand_ms; /* of the last demand */
  double decode_load;     /* to prepare for, in streams */
  double prefill_load;    /* in engines */
  uint32_t target;        /* engines */
  uint32_t target_prefill;
  double running_mean;      /* smoothed: single calls are noise */
  int64_t surplus_since_ms; /* since when there are too many; 0: are not */
  uint32_t surplus_peak;    /* the most that was wanted since then */
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
  int64_t next_load_ms; /* when the weight store may serve another load */
};

/** Find a service; NULL if there is none. */
struct service *planner_service (const struct beryl_planner *p,
                                 const char *name);

/** Copy a name; NULL gives "". */
void copy_name (char to[BERYL_NAME_BYTES], const char *from);

/** Update the sizes that SERVICE needs. */
void service_size (struct beryl_planner *p, struct service *s, int64_t now_ms);

/** Order what brings SERVICE's engines to its sizes. */
void service_arrange (struct beryl_planner *p, struct service *s,
                      int64_t now_ms);

/** Whether ENGINE is warm for the service's model in any version. */
bool engine_is_warm (const struct engine *e, const struct service *s);

#endif
