/** @file
 * Settings of beryl-gatewayd.
 */
#ifndef GATEWAYD_SETTINGS_H
#define GATEWAYD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "beryl/findings.h"
#include "beryl/ids.h"

/** IP address and port to listen on or connect to. */
struct gateway_address
{
  char ip[48];
  uint16_t port; /**< 0 if not given */
};

struct gateway_settings
{
  char node[BERYL_NAME_BYTES];
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  struct gateway_address front;     /**< listens for callers */
  struct gateway_address ready;     /**< listens for readiness checks */
  struct gateway_address directory; /**< listens for address requests */
  struct gateway_address platform;
  uint16_t peer_port;           /**< listens for other nodes, TCP and UDP */
  uint16_t metrics_port;        /**< 0: no metrics */
  double platform_reads_per_s;  /**< limit for all nodes together */
  double platform_writes_per_s; /**< limit for all nodes together */
  double repeat_ratio;          /**< retry budget: retries per request */
  uint32_t repeat_slack;        /**< retries allowed beyond the ratio */
  int64_t repeat_window_ms;     /**< period that the retry budget covers */
  double quota_slack;           /**< what an organisation may exceed its quota
                                       by, in requests or tokens */
  int64_t address_keep_ms; /**< how long callers may cache node addresses */
  int64_t configuration_delay_ms; /**< time in which a change of the
                                     configuration must be in use */
  int64_t endpoint_leave_ms; /**< how long after leaving an endpoint may still
                                get work */
  int64_t stop_ms;           /**< time from the stop signal to the kill */
  int64_t record_keep_ms;    /**< how long a silent node's record is kept */
  int64_t lease_ms;          /**< duration of the planner's lease */
  int64_t thaw_ms; /**< longest delay of an order on its way to an engine */
  bool engines_check_fence;
  uint32_t descriptors_max;
  uint32_t memory_mb; /**< memory limit; a quarter is for request bodies */
  char log_level[16];
  uint32_t log_lines_per_s;
};

/** Load SETTINGS from the file PATH; return false and add to FINDINGS if it
 * has errors. */
bool gateway_settings_load (struct gateway_settings *settings,
                            const char *path, struct beryl_findings *findings);

/** Return whether OLD and NEW differ in a setting that a reload reports as
 * taking effect only at a start: node, data_centre, addresses, ports,
 * lease_ms, thaw_ms, engines_check_fence or descriptors_max. */
bool gateway_settings_need_restart (const struct gateway_settings *old,
                                    const struct gateway_settings *new);

#endif
