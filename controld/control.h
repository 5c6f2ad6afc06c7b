/** @file
 * The parts of beryl-controld and what they tell each other.
 *
 * Each task owns its sockets and state; a task tells the others through the
 * control_* functions below, which control.c routes.
 */
#ifndef CONTROLD_CONTROL_H
#define CONTROLD_CONTROL_H

#include "beryl/config.h"
#include "beryl/membership.h"
#include "beryl/config_log.h"
#include "common/counters.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "http/context.h"
#include "settings.h"
#include "wire/local.h"

struct control;
struct gossip_task;
struct config_task;
struct role_task;
struct accept_task;
struct planner_task;
struct entry_task;
struct status_task;
struct cleanup_task;
struct metrics_task;

/** Roles that are kept by leases. */
enum control_role
{
  CONTROL_ROLE_WATCHER,  /**< of this data centre: watches the log */
  CONTROL_ROLE_ACCEPTOR, /**< judges the operators' objects */
  CONTROL_ROLE_PLANNER,
  CONTROL_ROLE_COUNT,
};

/** One process. */
struct control
{
  struct control_settings settings;
  struct loop *loop;
  struct http_context *http;
  struct counters *counters;
  struct platform_client *platform;
  struct beryl_config_log *config_log; /**< written by the config task only */
  struct beryl_membership *members;    /**< written by the gossip task only */
  struct gossip_task *gossip;
  struct config_task *config;
  struct role_task *roles;
  struct entry_task *entry;
  struct status_task *status;
  struct cleanup_task *cleanup;
  struct metrics_task *metrics;
  struct loop_timer *tick_timer; /**< runs control_second */
  struct accept_task *accept;    /**< while the acceptor; else NULL */
  struct planner_task *planner;  /**< while the planner; else NULL */
  struct loop_timer *bootstrap_timer;
  struct loop_timer *stop_timer;
  uint64_t seed_watch; /**< of the instance list, until it was read */
  uint64_t random;     /**< state of control_random */
  bool stopping;
  bool leave_announced; /**< gossip has told that this node leaves */
};

/** Create all tasks and listen. */
struct control *control_create (const struct control_settings *settings,
                                struct loop *loop, struct http_context *http,
                                struct beryl_error *error);

/** Begin a planned stop: leave gossip and discovery, hand over the roles,
 * quit the loop when entryd has gone. */
void control_stop (struct control *control);

/** Close the sockets; before http_context_destroy. */
void control_close (struct control *control);

/** Release; NULL is allowed. */
void control_destroy (struct control *control);

/** Return the time in milliseconds. */
int64_t control_now_ms (const struct control *control);

/** Return a random number below LIMIT. */
uint64_t control_random (struct control *control, uint64_t limit);

/** The accepted configuration moved forward. */
void control_config_changed (struct control *control);

/** The configuration in use at this node may have changed. */
void control_applied_changed (struct control *control);

/** A member appeared or changed. */
void control_member_changed (struct control *control,
                             const struct beryl_member *member);

/** A role was won or lost. */
void control_role_changed (struct control *control, enum control_role role,
                           uint64_t fence);

/** The entryd of this instance came, went, or is leaving. */
void control_entry_changed (struct control *control);

/** Demand of NODE's entryd reached this process. */
void control_report_loads (struct control *control,
                           const struct local_loads *loads, const char *node);

/** A new demand report of the local entryd: pass it to the planner. */
void control_report_local_loads (struct control *control,
                                 const struct local_loads *loads);

#endif
