/** @file
 * Translation between gatewayd and a deployment: the HTTP messages of its
 * callers and endpoints, and the objects in its platform's API.
 *
 * An implementation only translates; it makes no decisions.  The messages
 * between nodes are not part of it (include/wire/).
 *
 * An engine is an endpoint that runs a model; it has a stage, prefill or
 * decode.  The platform's API is an object store, called the store.  The kinds
 * of exchanges (RUN, PREFILL, ...) are those of enum beryl_exchange_kind; RUN
 * is the caller's request itself, forwarded to an endpoint.
 */
#ifndef GATEWAY_WIRE_H
#define GATEWAY_WIRE_H

#include <glib.h>

#include "beryl/error.h"
#include "beryl/forward.h"
#include "beryl/platform.h"
#include "common/platform_client.h"
#include "h1/head.h"

struct gateway_wire;

/** Header field of a request that a node hands over to a peer, and of the
 * peer's response if it does not take the request on.  It is for nodes alone:
 * neither callers nor endpoints get or set it. */
#define GATEWAY_HANDOFF_FIELD "Beryl-Handoff"

/** Location of a caller that asks for the addresses of nodes. */
struct gateway_location
{
  char data_centre[BERYL_NAME_BYTES]; /**< "" if not given */
  char region[BERYL_NAME_BYTES];
};

/** Requests that a node answers itself, on its ready and directory ports. */
enum gateway_node_request
{
  GATEWAY_NODE_REQUEST_NONE, /**< any other request */
  GATEWAY_NODE_REQUEST_READY,
  GATEWAY_NODE_REQUEST_ADDRESSES,
};

/** Status reported by an engine; may be some hundred milliseconds old. */
struct gateway_engine_report
{
  enum beryl_stage stage;
  bool stage_change_pending; /**< an order is being carried out */
  uint64_t accepted_orders;  /**< orders accepted since the engine's start */
  uint64_t start_ms; /**< process start (beryl_live_info); 0: unknown */
};

/** Order to an engine to switch to another stage. */
struct gateway_stage_order
{
  const struct beryl_live_info *engine;
  enum beryl_stage stage;
  const char *holder;       /**< node that gives the order */
  uint64_t fence;           /**< fencing token; grows with each lease holder */
  uint64_t expected_orders; /**< orders it must have accepted so far */
};

/** Result of an order. */
enum gateway_order_result
{
  GATEWAY_ORDER_ACCEPTED,
  GATEWAY_ORDER_UNCHANGED, /**< the engine is in that stage already */
  GATEWAY_ORDER_BUSY,      /**< another order is in progress or came first */
  GATEWAY_ORDER_FENCED,    /**< the fencing token is outdated */
  GATEWAY_ORDER_REFUSED,
};

/** What an endpoint was asked. */
struct gateway_asked
{
  enum beryl_exchange_kind kind;
  const char *endpoint;   /**< id of the endpoint */
  const char *request_id; /**< of the request that it concerns; NULL: none */
};

/** Translation functions.  Text appended to a GString is complete and already
 * escaped. */
struct gateway_wire_impl
{
  /** Kinds and names of objects in the platform's API. */
  const char *configuration_kind;
  const char *configuration_name;
  const char *endpoint_kind;
  /** Name of a field that events of streams may have besides those of the
   * standard; NULL: none. */
  const char *event_field;

  /** Parse the configuration object; return NULL and set ERROR if it is
   * malformed. */
  struct beryl_routes *(*read_routes) (const struct gateway_wire *wire,
                                       const struct beryl_object *object,
                                       struct beryl_error *error);
  /** Parse an endpoint's entry; return false and set ERROR if it is
   * malformed. */
  bool (*read_endpoint) (const struct gateway_wire *wire,
                         const struct beryl_object *object,
                         struct beryl_live_info *info,
                         struct beryl_error *error);

  /** Parse the head of a caller's request.  Strings in REQUEST point into
   * HEAD; its times are computed from NOW_MS. */
  void (*read_request) (const struct gateway_wire *wire,
                        const struct h1_head *head, int64_t now_ms,
                        struct beryl_forward_request *request);
  /** Return the identity of the request's caller, "" if it gives none; points
   * into HEAD. */
  const char *(*read_caller) (const struct gateway_wire *wire,
                              const struct h1_head *head);
  /** Format the head of a RUN, PREFILL or HANDOFF exchange: the caller's HEAD
   * without hop-by-hop fields and without fields that callers must not set. */
  void (*format_request) (const struct gateway_wire *wire,
                          const struct h1_head *head, size_t body_bytes,
                          const struct beryl_exchange_start *start,
                          GString *out);
  /** Format the head and body of any other exchange with an engine. */
  void (*format_engine_call) (const struct gateway_wire *wire,
                              const struct beryl_exchange_start *start,
                              GString *head, GString *body);
  /** Return the id by which endpoints know the request, NULL if it has none;
   * points into HEAD. */
  const char *(*read_request_id) (const struct gateway_wire *wire,
                                  const struct h1_head *head);
  /** Parse the head of the response to RUN or HANDOFF. */
  void (*read_response) (const struct gateway_wire *wire,
                         const struct gateway_asked *asked,
                         const struct h1_head *head,
                         struct beryl_answer_head *response);
  /** Parse the response to any other exchange. */
  void (*read_engine_response) (const struct gateway_wire *wire,
                                const struct gateway_asked *asked,
                                const struct h1_head *head, const char *body,
                                size_t body_bytes,
                                struct beryl_engine_result *result);
  /** Format a request for an engine's status report. */
  void (*format_report_request) (const struct gateway_wire *wire,
                                 const struct beryl_live_info *engine,
                                 GString *head);
  /** Parse a status report; return false if it is malformed. */
  bool (*read_report) (const struct gateway_wire *wire,
                       const struct h1_head *head, const char *body,
                       size_t body_bytes,
                       struct gateway_engine_report *report);
  /** Format a request for the list of prompts that an engine has cached. */
  void (*format_prompts_request) (const struct gateway_wire *wire,
                                  const struct beryl_live_info *engine,
                                  GString *head);
  /** Append the keys (uint32_t) of the cached prompts, as in
   * beryl_forward_request. */
  void (*read_prompts) (const struct gateway_wire *wire,
                        const struct h1_head *head, const char *body,
                        size_t body_bytes, GArray *keys);
  /** Format a stage order. */
  void (*format_order) (const struct gateway_wire *wire,
                        const struct gateway_stage_order *order, GString *head,
                        GString *body);
  /** Parse the head of an engine's response to an order. */
  enum gateway_order_result (*read_order_result) (
      const struct gateway_wire *wire, const struct h1_head *head);
  /** Append the header fields (struct h1_field) of a response that refuses a
   * request.  The caller frees each struct and its value with g_free, but not
   * its name, which must be static. */
  void (*format_refusal) (const struct gateway_wire *wire,
                          const struct beryl_refusal *refusal,
                          const char *request_id, GPtrArray *fields);

  /** Classify a request on one of the node's own ports; for ADDRESSES, set
   * LOCATION to the caller's location. */
  enum gateway_node_request (*read_node_request) (
      const struct gateway_wire *wire, const struct h1_head *head,
      struct gateway_location *location);
  /** Format the response to ADDRESSES: "ip:port" strings that a caller may
   * cache for KEEP_MS. */
  void (*format_addresses) (const struct gateway_wire *wire,
                            const char *const *addresses, size_t count,
                            int64_t keep_ms, GString *body);
};

/** A deployment's translation; the first member selects the implementation. */
struct gateway_wire
{
  const struct gateway_wire_impl *impl;
  struct platform_wire store; /**< translation of the calls to the store */
};

#endif
