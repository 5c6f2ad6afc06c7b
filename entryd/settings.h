/** @file
 * Settings of beryl-entryd.
 */
#ifndef ENTRYD_SETTINGS_H
#define ENTRYD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "beryl/findings.h"
#include "beryl/ids.h"
#include "beryl/router.h"
#include "common/loop.h"

/** Longest path of a file named in the settings, with its NUL. */
#define SETTINGS_PATH_BYTES 256

/** What the settings file says; see beryl-entryd(1). */
struct entry_settings
{
  char node[BERYL_NAME_BYTES];
  char address[64];
  uint16_t http_port;
  uint16_t peer_port;
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  uint16_t control_port; /**< of beryl-controld on this instance; 0: none */
  char platform_address[64];
  uint16_t platform_port; /**< 0: no platform, so no free keys */
  char platform_token_file[SETTINGS_PATH_BYTES];
  char cluster_key[128]; /**< proved towards other nodes, and accepted */
  char cluster_key_accepted[128]; /**< accepted too, while keys change */
  char operator_token_sha256[65]; /**< "": nobody may ask /v1/explain */
  char tls_cert_file[SETTINGS_PATH_BYTES];
  char tls_key_file[SETTINGS_PATH_BYTES];
  char static_config[SETTINGS_PATH_BYTES]; /**< instead of beryl-controld */
  char policy_name[32];
  enum beryl_policy policy;
  char log_format_name[8];
  enum log_format log_format;
  char log_level[16];
  uint32_t max_body_bytes;
  uint32_t header_timeout_s;
  uint32_t max_open_requests;
  uint32_t slow_reader_bytes;
  int64_t slow_reader_ms;
  int64_t answer_retention_ms;
  uint32_t answer_retention_bytes;
  int64_t load_poll_ms; /**< between two load reports of one engine */
  uint64_t seed;        /**< 0: from the system */
};

/** Read and check the file PATH; false if there were findings. */
bool entry_settings_load (struct entry_settings *settings, const char *path,
                          struct beryl_findings *findings);

#endif
