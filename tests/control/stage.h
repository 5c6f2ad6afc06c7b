/** @file
 * Real controlds, a platform and an engine at the interface, on one loop.
 */
#ifndef TESTS_CONTROL_STAGE_H
#define TESTS_CONTROL_STAGE_H

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

/** All of a test's parts; stage_open clears it. */
struct stage
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
  int calls; /* under way */
  bool reading;
  GString *read; /* body of the answer to stage_reads */
  struct control_link_owner owner;
  uint64_t view_config;
  size_t view_members;
  size_t view_leaving;
  uint32_t views_with_objects;
  struct http_handler engine;
  struct http_server *engine_server;
  char cancelled[200];
  char engine_role[16]; /* as ordered */
  uint32_t load_reads;
  uint32_t state_reads;
  uint32_t waiting;
  bool (*until) (struct stage *s);
  int64_t deadline_ms;
  bool reached;
};

/** Create a loop, a platform, and NODES nodes that are listed. */
void stage_open (struct stage *s, int nodes);

/** Close and release everything. */
void stage_close (struct stage *s);

/** Run until UNTIL holds, for at most MOST_MS; whether it did. */
bool stage_await (struct stage *s, bool (*until) (struct stage *s),
                  int64_t most_ms);

/** Write BODY to the platform. */
void stage_put (struct stage *s, const char *path, const char *body);

/** Whether PART comes to be in the object at PATH within some seconds. */
bool stage_reads (struct stage *s, const char *path, const char *part);

/** Delete from the platform. */
void stage_delete (struct stage *s, const char *path);

/** Add a node with this cluster key and these seeds. */
void stage_node (struct stage *s, const char *key, const char *seeds);

/** List the node I at the platform. */
void stage_list (struct stage *s, int i);

/** Let node I die without a word; the last node takes its number. */
void stage_kill (struct stage *s, int i);

/** Open the engine with IMPL, and write a model, its service "s" and the
 * endpoint "engine-1". */
void stage_engine (struct stage *s, const struct http_handler_impl *impl);

/** Write COUNT more endpoints of "s" at the engine's address. */
void stage_endpoints (struct stage *s, int count);

/** The stage of an engine's handler. */
struct stage *stage_of_engine (struct http_handler *handler);

/** For an engine's handler: nothing to do. */
void stage_engine_closed (struct http_handler *handler,
                          struct http_exchange *ex, bool whole);

/** Connect an entryd's side of the loopback connection to the first node. */
struct control_link *stage_link (struct stage *s, uint64_t incarnation);

/** Conditions for stage_await. */
bool stage_never (struct stage *s);
bool stage_all_know_all (struct stage *s);
bool stage_all_have_1 (struct stage *s);
bool stage_all_have_2 (struct stage *s);

#endif
