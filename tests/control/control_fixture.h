/** @file
 * Test fixture that runs real controlds, a platform stand-in and a fake engine
 * on one event loop.
 */
#ifndef TESTS_CONTROL_CONTROL_FIXTURE_H
#define TESTS_CONTROL_CONTROL_FIXTURE_H

#include <glib.h>

#include "accept_task.h"
#include "config_task.h"
#include "control.h"
#include "control_link.h"
#include "entry_task.h"
#include "gossip_task.h"
#include "http/client.h"
#include "http/server.h"
#include "role_task.h"
#include "server.h"

#define NODES_MAX 4
#define MODEL                                                                 \
  "{\"api_version\":\"beryl/v1\",\"kind\":\"model\",\"name\":\"m\","          \
  "\"spec\":{\"version\":\"1\"}}"
#define SERVICE                                                               \
  "{\"api_version\":\"beryl/v1\",\"kind\":\"service\",\"name\":\"s\","        \
  "\"spec\":{\"model\":\"m\"}}"

/** State of a test, initialised by fixture_open(). */
struct control_fixture
{
  struct loop *loop;
  struct http_context *http;
  struct platform *platform;
  struct control *nodes[NODES_MAX];
  bool planner; /* enables the planner on the next node */
  int count;
  struct control
      *dead[NODES_MAX]; /* closed nodes, released by fixture_close() */
  int dead_count;
  struct http_call_handler caller;
  int pending_calls; /* requests to the platform */
  bool capture_response;
  GString *response; /* body of the last GET */
  struct control_link_owner owner;
  uint64_t view_config_version;
  size_t view_members;
  size_t view_leaving;
  uint32_t views_with_objects;
  struct http_handler engine;
  struct http_server *engine_server;
  char cancelled[200];
  char engine_role[16]; /* role of the last order */
  uint32_t load_reads;
  uint32_t state_reads;
  uint32_t reported_waiting;
  bool (*condition) (struct control_fixture *f);
  int64_t deadline_ms;
  bool reached;
};

/** Create a loop, a platform and NODES listed nodes. */
void fixture_open (struct control_fixture *f, int nodes);

/** Close and release everything. */
void fixture_close (struct control_fixture *f);

/** Run the loop until CONDITION holds, for at most TIMEOUT_MS; return whether
 * it held. */
bool fixture_wait_until (struct control_fixture *f,
                         bool (*condition) (struct control_fixture *f),
                         int64_t timeout_ms);

/** PUT BODY to PATH at the platform. */
void fixture_put (struct control_fixture *f, const char *path,
                  const char *body);

/** Poll the object at PATH for some seconds; return whether it contained
 * PART. */
bool fixture_wait_for_text (struct control_fixture *f, const char *path,
                            const char *part);

/** DELETE PATH at the platform. */
void fixture_delete (struct control_fixture *f, const char *path);

/** Add a node with cluster key KEY and the seeds SEEDS. */
void fixture_add_node (struct control_fixture *f, const char *key,
                       const char *seeds);

/** Add node I to the platform's instance list. */
void fixture_list_node (struct control_fixture *f, int i);

/** Close node I without a planned stop; the last node takes its index. */
void fixture_kill_node (struct control_fixture *f, int i);

/** Start the fake engine with IMPL, and write a model, its service "s" and the
 * endpoint "engine-1". */
void fixture_add_engine (struct control_fixture *f,
                         const struct http_handler_impl *impl);

/** Write COUNT more endpoints of "s" with the engine's address. */
void fixture_add_endpoints (struct control_fixture *f, int count);

/** Return the fixture of an engine's handler. */
struct control_fixture *fixture_of_engine (struct http_handler *handler);

/** Empty closed callback for an engine's handler. */
void fixture_engine_closed (struct http_handler *handler,
                            struct http_exchange *ex, bool whole);

/** Connect to the first node as its entryd. */
struct control_link *fixture_connect_entry (struct control_fixture *f,
                                            uint64_t incarnation);

/** Conditions for fixture_wait_until(). */
bool fixture_never (struct control_fixture *f);
bool fixture_all_members_alive (struct control_fixture *f);
bool fixture_all_have_version_1 (struct control_fixture *f);
bool fixture_all_have_version_2 (struct control_fixture *f);

#endif
