/** @file
 * Real controlds, a platform and an engine at the interface, on one loop.
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

/** All of a test's parts; fixture_open clears it. */
struct control_fixture
{
  struct loop *loop;
  struct http_context *http;
  struct platform *platform;
  struct control *nodes[NODES_MAX];
  bool planner; /* whether the next node plans */
  int count;
  struct control *dead[NODES_MAX]; /* released with the stage */
  int dead_count;
  struct http_call_handler caller;
  int pending_calls; /* under way */
  bool capture_response;
  GString *response; /* body of the answer to fixture_wait_for_text */
  struct control_link_owner owner;
  uint64_t view_config_version;
  size_t view_members;
  size_t view_leaving;
  uint32_t views_with_objects;
  struct http_handler engine;
  struct http_server *engine_server;
  char cancelled[200];
  char engine_role[16]; /* as ordered */
  uint32_t load_reads;
  uint32_t state_reads;
  uint32_t reported_waiting;
  bool (*condition) (struct control_fixture *f);
  int64_t deadline_ms;
  bool reached;
};

/** Create a loop, a platform, and NODES nodes that are listed. */
void fixture_open (struct control_fixture *f, int nodes);

/** Close and release everything. */
void fixture_close (struct control_fixture *f);

/** Run until UNTIL holds, for at most MOST_MS; whether it did. */
bool fixture_wait_until (struct control_fixture *f,
                         bool (*condition) (struct control_fixture *f),
                         int64_t timeout_ms);

/** Write BODY to the platform. */
void fixture_put (struct control_fixture *f, const char *path,
                  const char *body);

/** Whether PART comes to be in the object at PATH within some seconds. */
bool fixture_wait_for_text (struct control_fixture *f, const char *path,
                            const char *part);

/** Delete from the platform. */
void fixture_delete (struct control_fixture *f, const char *path);

/** Add a node with this cluster key and these seeds. */
void fixture_add_node (struct control_fixture *f, const char *key,
                       const char *seeds);

/** List the node I at the platform. */
void fixture_list_node (struct control_fixture *f, int i);

/** Let node I die without a word; the last node takes its number. */
void fixture_kill_node (struct control_fixture *f, int i);

/** Open the engine with IMPL, and write a model, its service "s" and the
 * endpoint "engine-1". */
void fixture_add_engine (struct control_fixture *f,
                         const struct http_handler_impl *impl);

/** Write COUNT more endpoints of "s" at the engine's address. */
void fixture_add_endpoints (struct control_fixture *f, int count);

/** The stage of an engine's handler. */
struct control_fixture *fixture_of_engine (struct http_handler *handler);

/** For an engine's handler: nothing to do. */
void fixture_engine_closed (struct http_handler *handler,
                            struct http_exchange *ex, bool whole);

/** Connect an entryd's side of the loopback connection to the first node. */
struct control_link *fixture_connect_entry (struct control_fixture *f,
                                            uint64_t incarnation);

/** Conditions for fixture_wait_until. */
bool fixture_never (struct control_fixture *f);
bool fixture_all_members_alive (struct control_fixture *f);
bool fixture_all_have_version_1 (struct control_fixture *f);
bool fixture_all_have_version_2 (struct control_fixture *f);

#endif
