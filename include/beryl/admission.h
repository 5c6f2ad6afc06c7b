/** @file
 * Load: callers ask a plain service for more than its endpoints answer in
 * time. Admission control of plain services: a bound on what all nodes
 * together send to a service, divided by urgency and among organisations.
 *
 * Every node counts what its callers ask for and what it sends, and learns the
 * same of its peers from their announcements.  A report replaces what its node
 * reported before.
 *
 * No I/O.  Not thread-safe.  Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_ADMISSION_H
#define BERYL_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Requests that are treated alike. */
struct beryl_admission_class
{
  uint32_t service;      /**< beryl_name_hash of its name */
  uint32_t organisation; /**< id; 0: none */
  uint32_t rank;         /**< 0 is the most urgent */
};

/** Why a request was refused. */
enum beryl_admission_reason
{
  BERYL_ADMISSION_ADMITTED,
  BERYL_ADMISSION_NO_ROOM,    /**< no room for anyone of its rank */
  BERYL_ADMISSION_OVER_SHARE, /**< its organisation uses its share */
};

/** A decision, and what it was based on. */
struct beryl_admission_verdict
{
  enum beryl_admission_reason reason;
  double room_per_s;      /**< of the service */
  double asked_per_s;     /**< by all callers of the service */
  double granted_per_s;   /**< to requests of this class */
  int64_t retry_after_ms; /**< if refused: when there will be room */
};

struct beryl_admission;

struct beryl_admission *beryl_admission_create (uint64_t seed);

/** Release; NULL is allowed. */
void beryl_admission_destroy (struct beryl_admission *admission);

/** Set the number of nodes that may be running, this one included. */
void beryl_admission_set_nodes (struct beryl_admission *admission,
                                uint32_t nodes);

/** What is known of an endpoint of a service. */
struct beryl_admission_endpoint
{
  uint32_t slots;     /**< requests that it works on at a time */
  double ms_per_call; /**< of late; 0: unknown */
  double load_per_s;  /**< requests per second that it takes from all nodes */
  double target_ms;   /**< mean time of a call that callers can do with */
};

/** Return how many requests per second an endpoint takes well; 0 if that is
 * not known. */
double beryl_admission_room (const struct beryl_admission_endpoint *endpoint);

/** Decide about a request of CLASS for a service whose endpoints take
 * ROOM_PER_S requests per second well (0: unknown, everything is admitted). */
struct beryl_admission_verdict
beryl_admission_ask (struct beryl_admission *admission,
                     const struct beryl_admission_class *request,
                     double room_per_s, int64_t now_ms);

/** Demand for a service, as known to this node. */
struct beryl_admission_state
{
  uint32_t service;
  double room_per_s; /**< at the last request; 0: unknown */
  double asked_per_s;
  double sent_per_s;
};

/** Maximum number of services that are told apart. */
#define BERYL_ADMISSION_SERVICES_MAX 64

/** Describe the services that have been asked for, at most COUNT; return their
 * number. */
size_t beryl_admission_services (struct beryl_admission *admission,
                                 struct beryl_admission_state *states,
                                 size_t count, int64_t now_ms);

/** Return when beryl_admission_tick is to be called; BERYL_NEVER_MS: not. */
int64_t beryl_admission_next_ms (const struct beryl_admission *admission);

void beryl_admission_tick (struct beryl_admission *admission, int64_t now_ms);

/** Return whether peers should be told of this node's demand now. */
bool beryl_admission_report_due (const struct beryl_admission *admission);

/** What a node's callers ask for. */
struct beryl_admission_demand
{
  struct beryl_admission_class requests;
  uint32_t asked_milli_per_s; /**< in thousandths of a request per second */
  uint32_t sent_milli_per_s;
};

/** Maximum number of classes in one report; the others follow in the next
 * ones. */
#define BERYL_ADMISSION_DEMANDS_MAX 16

/** A node's report. */
struct beryl_admission_report
{
  struct beryl_admission_demand items[BERYL_ADMISSION_DEMANDS_MAX];
  size_t count;
};

/** Write the recent demand at this node, for a message to its peers. */
void beryl_admission_report (struct beryl_admission *admission,
                             struct beryl_admission_report *report,
                             int64_t now_ms);

/** Apply the report of NODE (beryl_name_hash). */
void beryl_admission_apply (struct beryl_admission *admission, uint32_t node,
                            const struct beryl_admission_report *report,
                            int64_t now_ms);

#endif
