/** @file
 * The users' platform as a stand-in, some nodes and callers, all on one loop.
 * Each process has loopback addresses of its own, so that ports are fixed.
 */
#ifndef TESTS_GATEWAY_WORLD_H
#define TESTS_GATEWAY_WORLD_H

#include "gateway.h"
#include "h1/client.h"
#include "standin.h"

#define WORLD_NODES_MAX 8
/** Runners of demo_fill. */
#define WORLD_RUNNERS 8
#define WORLD_FRONT_PORT 8100
#define WORLD_READY_PORT 8101
#define WORLD_DIRECTORY_PORT 8102
#define WORLD_METRICS_PORT 8103
#define WORLD_PEER_PORT 8104

/** What a caller has of its answer. */
struct world_answer
{
  bool done; /**< whole */
  bool failed;
  enum h1_failure failure;
  unsigned int status;
  GString *fields; /**< "name: value\n", each */
  GString *body;
  int64_t begun_ms;
  int64_t first_ms; /**< time of the first byte of the body */
  int64_t end_ms;
};

struct world
{
  struct loop *loop;
  struct standin *standin;
  struct http_context *http;
  struct gateway *nodes[WORLD_NODES_MAX];
  char ips[WORLD_NODES_MAX][32];
  /** Of each node; NULL: that of the runners.  Set before world_node. */
  const char *data_centres[WORLD_NODES_MAX];
  GPtrArray *runners;
  uint64_t requests;
  uint64_t version;
  GPtrArray *answers;
};

/** Start the store and the runners of demo_fill. */
void world_open (struct world *w);
void world_close (struct world *w);

/** Start node I, and stop it without notice. */
void world_node (struct world *w, size_t i);
void world_kill (struct world *w, size_t i);
/** Start COUNT nodes and wait until each is ready and knows all. */
void world_nodes (struct world *w, size_t count);
/** Wait until each node that was started is ready and knows all. */
void world_all_known (struct world *w);

/** Turn the loop for MS, or until UNTIL holds; false if it did not within
 * MS. */
void world_turn (struct world *w, int64_t ms);
bool world_until (struct world *w, bool (*until) (struct world *w),
                  int64_t ms);

/** Send a request to node I; owned by W. */
struct world_answer *world_get (struct world *w, size_t i, const char *host,
                                const char *path, const char *fields);
/** The same for a model's request. */
struct world_answer *world_generate (struct world *w, size_t i,
                                     uint32_t prompt_tokens,
                                     uint32_t output_tokens);
/** The same with a prompt's name, and after an event (0: from the start). */
struct world_answer *world_generate_prompt (struct world *w, size_t i,
                                            const char *prompt,
                                            uint64_t last_event);
/** Ask another port of node I, and wait for the answer's body. */
struct world_answer *world_ask (struct world *w, size_t i, uint16_t port,
                                const char *path);
/** The caller leaves. */
void world_leave (struct world *w, struct world_answer *answer);
/** Turn until ANSWER has ended; fails the test after 10 s. */
void world_wait (struct world *w, struct world_answer *answer);

/** Write demo_configuration as a new version. */
void world_configure (struct world *w, const char *service,
                      const char *extra_host);

/** Return runner I. */
struct standin_runner *world_runner (struct world *w, size_t i);
/** Return the runner that runs most at present. */
struct standin_runner *world_busiest (struct world *w);

#endif
