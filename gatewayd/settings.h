/** @file
 * Settings of beryl-gatewayd.
 */
#ifndef GATEWAYD_SETTINGS_H
#define GATEWAYD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "beryl/findings.h"
#include "beryl/ids.h"

/** An IP number and a port. */
struct gateway_address
{
  char ip[48];
  uint16_t port; /**< 0: not given */
};

struct gateway_settings
{
  char node[BERYL_NAME_BYTES];
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  struct gateway_address front;     /**< for callers */
  struct gateway_address ready;     /**< for the platform's checks */
  struct gateway_address directory; /**< for callers that look for nodes */
  struct gateway_address platform;
  uint16_t peer_port;           /**< between nodes */
  uint16_t metrics_port;        /**< 0: none */
  double platform_reads_per_s;  /**< of all nodes together */
  double platform_writes_per_s; /**< of all nodes together */
  double repeat_ratio;
  uint32_t repeat_slack;
  int64_t repeat_window_ms;
  int64_t address_keep_ms;   /**< how long callers may keep an answer */
  int64_t endpoint_leave_ms; /**< in which one that left may get work */
  int64_t stop_ms;           /**< from the stop signal to the kill */
  int64_t record_keep_ms; /**< for which the record of a silent node stays */
  int64_t lease_ms;
  int64_t thaw_ms; /**< longest way of an order to an engine */
  bool engines_check_fence;
  uint32_t descriptors_max;
  uint32_t memory_mb;
  char log_level[16];
  uint32_t log_lines_per_s;
};

/** Read PATH; false if there are findings. */
bool gateway_settings_load (struct gateway_settings *settings,
                            const char *path, struct beryl_findings *findings);

/** Whether settings that only a start reads differ. */
bool gateway_settings_need_restart (const struct gateway_settings *old,
                                    const struct gateway_settings *new);

#endif
