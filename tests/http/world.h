/** @file
 * One beryl-entryd with a fake engine and a fake plain service in one
 * process, for tests of the HTTP surface.
 */
#ifndef TESTS_HTTP_WORLD_H
#define TESTS_HTTP_WORLD_H

#include <glib.h>

#include "entry.h"
#include "server.h"

/** What the fake service does with a call. */
enum service_mode
{
  SERVICE_ANSWER,
  SERVICE_REFUSE,      /**< 503 with X-Not-Run */
  SERVICE_DIE_HALFWAY, /**< half of the answer, then a reset */
  SERVICE_SILENT,
  SERVICE_LATE, /**< answers after some 300 ms */
};

/** What the fake engine does with a decode. */
enum decode_mode
{
  DECODE_ANSWER,
  DECODE_LATE_ATTEMPT, /**< mixes in lines of an older attempt */
  DECODE_NO_END,       /**< ends without its last line */
  DECODE_STUCK,        /**< one line, then nothing */
  DECODE_FULL,         /**< 429 */
};

/** The fakes and the entryd. */
struct world
{
  struct http_handler service;
  struct http_handler engine;
  struct loop *loop;
  struct http_context *http;
  struct http_server *service_server;
  struct http_server *engine_server;
  struct entry *entry; /**< the node that calls go to */
  struct entry *nodes[2];
  struct entry_settings node_settings[2];
  const char *keys[2];   /**< the nodes' cluster keys */
  uint16_t control_port; /**< 0: the nodes read the file of PATH themselves */
  struct platform *platform;
  enum service_mode service_mode;
  enum decode_mode decode_mode;
  struct http_exchange *late; /**< waits for its answer */
  struct loop_timer *late_timer;
  uint32_t service_runs;
  uint32_t prefills;
  uint32_t decodes;
  int64_t kv_lives_ms; /**< told with each prefill */
  uint32_t cancels;
  uint64_t prompt_bytes; /**< of the last prefill */
  char last_deadline[32];
  char last_request_id[80];
  char path[64]; /**< of the configuration file */
};

/** An answer as a caller sees it. */
struct answer
{
  struct http_call_handler base;
  struct world *world;
  GString *body;
  unsigned int status;
  char request_id[80];
  char retry_after[16];
  bool ended;
  bool failed;
};

/** Create; the loop is WORLD's. */
struct world *world_create (void);

/** Create with a node that takes its views at CONTROL_PORT of LOOP, which
 * WORLD then owns. */
struct world *world_create_controlled (struct loop *loop,
                                       uint16_t control_port);

/** Create with a platform and a second node, which has SECOND_KEY; the
 * first one's key is "key of the cluster". */
struct world *world_create_two (const char *second_key);

/** Make the nodes see each other as they are now. */
void world_introduce (struct world *world);

/** End a node at once, as a crash does. */
void world_kill (struct world *world, size_t node);
void world_destroy (struct world *world);

/** Send a call with the organisation's token and up to one more header. */
struct http_call *world_send (struct world *world, struct answer *answer,
                              const char *method, const char *path,
                              const char *header, const char *value,
                              const char *body);

/** Send a call and wait for its end. */
void world_call (struct world *world, struct answer *answer,
                 const char *method, const char *path, const char *header,
                 const char *value, const char *body);

/** Run the loop for MS. */
void world_run (struct world *world, int64_t ms);

/** Release what ANSWER holds. */
void answer_clear (struct answer *answer);

#endif
