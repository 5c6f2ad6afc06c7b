/** @file
 * Load: servers of one service differ in speed, and some slow down long before
 * they are full.  Learned capacity of endpoints: how fast each one works, and
 * the load from which on it slows down.
 *
 * Every node records its own observations and shares the recent ones in its
 * announcements, so that a node that sees little of an endpoint knows what all
 * nodes have seen.  A report replaces what its node reported before;
 * observations lose weight with age.
 *
 * No I/O.  Not thread-safe.  Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_CAPACITY_H
#define BERYL_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Kind of work, each with its own unit. */
enum beryl_work
{
  BERYL_WORK_CALL,    /**< a call of a plain service; unit: a call */
  BERYL_WORK_PREFILL, /**< unit: a prompt token */
  BERYL_WORK_DECODE,  /**< unit: an output token */
};

/** An endpoint that does one kind of work for a service. */
struct beryl_capacity_key
{
  uint32_t service;  /**< beryl_name_hash of its name */
  uint32_t endpoint; /**< beryl_live_hash */
  enum beryl_work work;
};

/** What is believed of an endpoint. */
struct beryl_capacity_belief
{
  double speed;  /**< relative to the median of the service's endpoints; 1:
                    usual, or unknown */
  bool unproven; /**< it was slow, and has not been observed of late: it should
                    get no more than shows its speed */
  double ms_per_unit;          /**< time of a unit of work; 0: unknown */
  double unloaded_ms_per_unit; /**< the same without load; 0: unknown */
  double limit_per_s; /**< units per second from which on it slows down; 0:
                         unknown */
  double load_per_s;  /**< units per second that all nodes send it */
  double
      refused_per_s; /**< those of them that it refuses because it is full */
  double certainty;  /**< 0: nothing is known; 1: well known */
  uint32_t nodes;    /**< nodes whose observations count */
  int64_t age_ms;    /**< of the newest observation */
};

struct beryl_capacity;

struct beryl_capacity *beryl_capacity_create (void);

/** Release; NULL is allowed. */
void beryl_capacity_destroy (struct beryl_capacity *capacity);

/** This node sends UNITS of work. */
void beryl_capacity_sent (struct beryl_capacity *capacity,
                          const struct beryl_capacity_key *key, uint32_t units,
                          int64_t now_ms);

/** An endpoint has done UNITS of this node's work in TOOK_MS. */
void beryl_capacity_done (struct beryl_capacity *capacity,
                          const struct beryl_capacity_key *key, uint32_t units,
                          int64_t took_ms, int64_t now_ms);

/** An endpoint has not done UNITS of this node's work after OPEN_MS.  That
 * makes the endpoint slow, but not the others fast: it may never answer. */
void beryl_capacity_overdue (struct beryl_capacity *capacity,
                             const struct beryl_capacity_key *key,
                             uint32_t units, int64_t open_ms, int64_t now_ms);

/** An endpoint refused this node's work because it is full. */
void beryl_capacity_refused (struct beryl_capacity *capacity,
                             const struct beryl_capacity_key *key,
                             int64_t now_ms);

/** Return what is believed of an endpoint that works on SLOTS requests at a
 * time (0: unknown). */
struct beryl_capacity_belief
beryl_capacity_get (struct beryl_capacity *capacity,
                    const struct beryl_capacity_key *key, uint32_t slots,
                    int64_t now_ms);

/** What a node has seen of an endpoint of late. */
struct beryl_capacity_sample
{
  struct beryl_capacity_key key;
  uint32_t weight_milli;     /**< number of observations, in thousandths */
  uint32_t ns_per_unit;      /**< their mean */
  uint32_t sent_milli_per_s; /**< units that the node sends, in thousandths per
                               second */
  uint32_t refused_milli;    /**< refusals, in thousandths */
};

/** Maximum number of samples in one report; the others follow in the next
 * ones. */
#define BERYL_CAPACITY_SAMPLES_MAX 16

/** A node's report. */
struct beryl_capacity_report
{
  struct beryl_capacity_sample items[BERYL_CAPACITY_SAMPLES_MAX];
  size_t count;
};

/** Return whether an observation should be reported at once. */
bool beryl_capacity_report_due (const struct beryl_capacity *capacity);

/** Write the recent observations of this node, for a message to its peers. */
void beryl_capacity_report (struct beryl_capacity *capacity,
                            struct beryl_capacity_report *report,
                            int64_t now_ms);

/** Apply the report of NODE (beryl_name_hash). */
void beryl_capacity_apply (struct beryl_capacity *capacity, uint32_t node,
                           const struct beryl_capacity_report *report,
                           int64_t now_ms);

#endif
