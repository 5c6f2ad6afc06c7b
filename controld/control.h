/** @file
 * The tasks of beryl-controld and the events they exchange.
 *
 * Each task owns its sockets and state and notifies the others only through
 * the control_* functions below, which control.c dispatches.
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

/** Roles whose holders are elected by leases. */
enum control_role
{
  CONTROL_ROLE_WATCHER,  /**< watches the log for its data centre */
  CONTROL_ROLE_ACCEPTOR, /**< validates the operators' objects */
  CONTROL_ROLE_PLANNER,  /**< sends orders to the engines */
  CONTROL_ROLE_COUNT,
};

/** State of one beryl-controld process. */
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
  struct loop_timer *tick_timer; /**< runs control_tick() every second */
  struct accept_task *accept;    /**< NULL unless this node is the acceptor */
  struct planner_task *planner;  /**< NULL unless this node is the planner */
  struct loop_timer *bootstrap_timer;
  struct loop_timer *stop_timer;
  uint64_t seed_watch; /**< watch of the instance list for the
                        * first contact; 0 once it was read */
  uint64_t random;     /**< state of control_random() */
  bool stopping;
  bool leave_announced; /**< gossip had time to spread the departure */
};

/** Create all tasks and listen; NULL and ERROR on failure. */
struct control *control_create (const struct control_settings *settings,
                                struct loop *loop, struct http_context *http,
                                struct beryl_error *error);

/** Start a planned stop: leave the membership, release the roles, and quit
 * the loop once entryd has disconnected. */
void control_stop (struct control *control);

/** Close the sockets; must precede http_context_destroy(). */
void control_close (struct control *control);

/** Release CONTROL after control_close() and http_context_destroy(). */
void control_destroy (struct control *control);

/** Return the loop's time in milliseconds. */
int64_t control_now_ms (const struct control *control);

/** Return a random number below LIMIT. */
uint64_t control_random (struct control *control, uint64_t limit);

/** Handle a newer accepted configuration. */
void control_config_changed (struct control *control);

/** Publish the configuration version in use at this node. */
void control_applied_changed (struct control *control);

/** Handle a new or changed member. */
void control_member_changed (struct control *control,
                             const struct beryl_member *member);

/** Start or stop the task of a role that was acquired or lost.
 *
 * @param fence the fencing number, 0 if the role was lost */
void control_role_changed (struct control *control, enum control_role role,
                           uint64_t fence);

/** Handle a connect, disconnect or departure of this instance's entryd. */
void control_entry_changed (struct control *control);

/** Pass a demand report from NODE's entryd to the local planner, if any. */
void control_report_loads (struct control *control,
                           const struct local_loads *loads, const char *node);

/** Route a demand report of the local entryd to the planner's node. */
void control_report_local_loads (struct control *control,
                                 const struct local_loads *loads);

#endif
