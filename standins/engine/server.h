/** @file
 * standin-engine's HTTP side: docs/interfaces/engine.md on the timing model.
 */
#ifndef ENGINE_SERVER_H
#define ENGINE_SERVER_H

#include "beryl/error.h"
#include "http/context.h"
#include "model.h"

struct engine_server;

/** Settings of a stand-in engine. */
struct engine_server_settings
{
  const char *address;
  uint16_t port; /**< 0 lets the kernel choose */
  struct engine_settings engine;
  char model[BERYL_NAME_BYTES];
  char version[BERYL_NAME_BYTES];
  enum beryl_role role; /**< 0: serves nothing until ordered to */
  bool checks_fence;
  int64_t load_lag_ms;
  int64_t event_lag_ms;
  uint32_t event_loss_per_mille;
  int64_t weights_ms; /**< time to load a model */
};

/** Fill SETTINGS with the costs that the docs give. */
void engine_server_defaults (struct engine_server_settings *settings);

/** Listen; NULL and ERROR on failure. */
struct engine_server *
engine_server_create (struct loop *loop, struct http_context *http,
                      const struct engine_server_settings *settings,
                      struct beryl_error *error);
uint16_t engine_server_port (const struct engine_server *server);

/** Release; after the HTTP context. */
void engine_server_destroy (struct engine_server *server);

#endif
