/** @file
 * Settings of beryl-controld.
 */
#ifndef CONTROLD_SETTINGS_H
#define CONTROLD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "beryl/findings.h"
#include "beryl/membership.h"
#include "common/loop.h"

/** Longest shared key, with its NUL. */
#define CONTROL_KEY_BYTES 65

/** Settings; see beryl-controld(1). */
struct control_settings
{
  char node[BERYL_NAME_BYTES];
  char address[BERYL_ADDRESS_BYTES];
  uint16_t port;         /**< gossip, UDP and TCP; 0: chosen by the kernel */
  uint16_t local_port;   /**< loopback port for entryd */
  uint16_t metrics_port; /**< loopback port for HTTP */
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  char platform_address[BERYL_ADDRESS_BYTES];
  uint16_t platform_port;
  char platform_token_file[256];
  /** Comma-separated "address:port" of peers to contact while the platform
   * is unavailable. */
  char seeds[512];
  char cluster_key[CONTROL_KEY_BYTES];          /**< sent and accepted */
  char cluster_key_accepted[CONTROL_KEY_BYTES]; /**< accepted but never sent */
  int64_t lease_ttl_ms;
  int64_t lease_margin_ms;
  int64_t pause_bound_ms;    /**< longest pause of a process to assume */
  int64_t delivery_bound_ms; /**< longest delivery time of an order */
  int64_t probe_ms;
  bool planner;            /**< competes for the planner role */
  int64_t planner_idle_ms; /**< idle time before engines unload */
  double weight_store_bytes_per_s;
  char log_level[16];
  char log_format_name[16];
  enum log_format log_format;
  uint64_t seed; /**< 0: random */
};

/** Parse "address:port" with a numeric IP address; false if it is not. */
bool control_seed_parse (const char *text, struct beryl_member *member);

/** Load and check the file PATH; false if that added findings. */
bool control_settings_load (struct control_settings *settings,
                            const char *path, struct beryl_findings *findings);

#endif
