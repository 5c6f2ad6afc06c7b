/** @file
 * Datagram with all generations that a node has at engines, which replaces
 * what the node told before, what it found out about endpoints, and what
 * organisations have used there.
 */
#ifndef WIRE_LOADS_H
#define WIRE_LOADS_H

#include "beryl/admission.h"
#include "beryl/capacity.h"
#include "beryl/quotas.h"
#include "beryl/engine_load.h"
#include "beryl/ids.h"
#include "beryl/run_outcomes.h"
#include "wire/frame.h"

/** Frame type; other datagrams are of enum gossip_frame. */
#define LOADS_DATAGRAM 48

/** The message. */
struct loads_message
{
  char from[BERYL_NAME_BYTES];
  uint64_t incarnation;
  uint64_t endpoint_revision; /**< of the newest change that it has seen */
  uint64_t sequence;          /**< grows with each message of an incarnation */
  struct beryl_engine_run runs[BERYL_ENGINE_RUNS_MAX];
  size_t run_count;
  bool endpoints_lost; /**< this node can connect to no endpoint */
  bool takes_handoffs; /**< peers may hand requests over to this node; older
                          programs do not say so */
  struct beryl_endpoint_updates news;
  struct beryl_budget_transfers asks;        /**< for repeats */
  struct beryl_budget_transfers loans;       /**< that this node gives */
  struct beryl_generation_profiles profiles; /**< none in most messages */
  struct beryl_quota_report quotas;          /**< use of organisations */
  struct beryl_capacity_report capacity;     /**< observations of endpoints */
  struct beryl_admission_report admission;   /**< demand for plain services */
  struct beryl_run_outcome_report outcomes;  /**< of engines that break runs */
};

/** Begin a frame in WRITER and put MESSAGE into it, with as many of its runs
 * as a datagram holds. */
void loads_put (struct frame_writer *writer,
                const struct loads_message *message);

/** Read one; false if malformed. */
bool loads_read (struct frame *frame, struct loads_message *message);

#endif
