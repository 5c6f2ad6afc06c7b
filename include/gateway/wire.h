/** @file
 * How a deployment's callers, endpoints and platform spell what beryl-gatewayd
 * means.  An implementation translates and decides nothing.
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

/** What a caller that looks for nodes says of itself. */
struct gateway_location
{
  char data_centre[BERYL_NAME_BYTES]; /**< "": not said */
  char region[BERYL_NAME_BYTES];
};

/** The requests that the node itself answers on its own ports. */
enum gateway_node_request
{
  GATEWAY_NODE_REQUEST_NONE, /**< not one of these */
  GATEWAY_NODE_REQUEST_READY,
  GATEWAY_NODE_REQUEST_ADDRESSES,
};

/** What an engine says of itself; some hundred milliseconds old. */
struct gateway_engine_report
{
  enum beryl_stage stage;
  bool stage_change_pending; /**< an order is in progress */
  uint64_t accepted_orders;  /**< accepted since its start */
  uint64_t start_ms; /**< its start, as in beryl_live_info; 0: not told */
};

/** An order to an engine. */
struct gateway_stage_order
{
  const struct beryl_live_info *engine;
  enum beryl_stage stage;
  const char *holder;       /**< who gives it */
  uint64_t fence;           /**< only grows from holder to holder */
  uint64_t expected_orders; /**< carried out only if it has accepted as many */
};

/** What an engine says to an order. */
enum gateway_order_result
{
  GATEWAY_ORDER_ACCEPTED,
  GATEWAY_ORDER_UNCHANGED, /**< it was so already */
  GATEWAY_ORDER_BUSY,      /**< another is in progress, or came before */
  GATEWAY_ORDER_FENCED,    /**< a later holder has given orders */
  GATEWAY_ORDER_REFUSED,
};

/** Translations.  Texts appended to a GString are complete and escaped. */
struct gateway_wire_impl
{
  /** Kinds of objects in the platform's API. */
  const char *configuration_kind;
  const char *configuration_name;
  const char *endpoint_kind;

  /** Read the configuration object; NULL and ERROR if it is malformed. */
  struct beryl_routes *(*read_routes) (const struct gateway_wire *wire,
                                       const struct beryl_object *object,
                                       struct beryl_error *error);
  /** Read an endpoint's entry; false and ERROR if it is malformed. */
  bool (*read_endpoint) (const struct gateway_wire *wire,
                         const struct beryl_object *object,
                         struct beryl_live_info *info,
                         struct beryl_error *error);

  /** Read what a caller's head says; texts are borrowed from HEAD.  Times
   * are relative to NOW_MS. */
  void (*read_request) (const struct gateway_wire *wire,
                        const struct h1_head *head, int64_t now_ms,
                        struct beryl_forward_request *request);
  /** Return what names the caller of a request, "" if nothing does; borrowed
   * from HEAD. */
  const char *(*read_caller) (const struct gateway_wire *wire,
                              const struct h1_head *head);
  /** Format the head of a RUN or PREFILL: HEAD as the caller sent it, less
   * what concerns its connection or is not a caller's to say. */
  void (*format_request) (const struct gateway_wire *wire,
                          const struct h1_head *head, size_t body_bytes,
                          const struct beryl_exchange_start *start,
                          GString *out);
  /** Format another call to an engine; *BODY is appended to. */
  void (*format_engine_call) (const struct gateway_wire *wire,
                              const struct beryl_exchange_start *start,
                              GString *head, GString *body);
  /** Read the head of an answer to RUN, sent to ENDPOINT. */
  void (*read_response) (const struct gateway_wire *wire, const char *endpoint,
                         const struct h1_head *head,
                         struct beryl_answer_head *answer);
  /** Read the answer to another exchange with ENDPOINT. */
  void (*read_engine_response) (const struct gateway_wire *wire,
                                const char *endpoint,
                                enum beryl_exchange_kind kind,
                                const struct h1_head *head, const char *body,
                                size_t body_bytes,
                                struct beryl_engine_result *result);
  /** Ask an engine what it does. */
  void (*format_report_request) (const struct gateway_wire *wire,
                                 const struct beryl_live_info *engine,
                                 GString *head);
  /** Read its answer; false if it is not one. */
  bool (*read_report) (const struct gateway_wire *wire,
                       const struct h1_head *head, const char *body,
                       size_t body_bytes,
                       struct gateway_engine_report *report);
  /** Ask an engine which prompts it keeps. */
  void (*format_prompts_request) (const struct gateway_wire *wire,
                                  const struct beryl_live_info *engine,
                                  GString *head);
  /** Append their keys (uint32_t), as in beryl_forward_request. */
  void (*read_prompts) (const struct gateway_wire *wire,
                        const struct h1_head *head, const char *body,
                        size_t body_bytes, GArray *keys);
  /** Order an engine to another stage. */
  void (*format_order) (const struct gateway_wire *wire,
                        const struct gateway_stage_order *order, GString *head,
                        GString *body);
  enum gateway_order_result (*read_order_result) (
      const struct gateway_wire *wire, const struct h1_head *head);
  /** Format the fields of an own answer to a caller. */
  void (*format_refusal) (const struct gateway_wire *wire,
                          const struct beryl_refusal *refusal,
                          const char *request_id, GPtrArray *fields);

  /** Tell what a request on a port of the node itself asks. */
  enum gateway_node_request (*read_node_request) (
      const struct gateway_wire *wire, const struct h1_head *head,
      struct gateway_location *place);
  /** Format the answer to ADDRESSES: "ip:port" texts, and for how long a
   * caller may keep it. */
  void (*format_addresses) (const struct gateway_wire *wire,
                            const char *const *addresses, size_t count,
                            int64_t keep_ms, GString *body);
};

/** A wire; the first member selects the implementation. */
struct gateway_wire
{
  const struct gateway_wire_impl *impl;
  struct platform_wire store; /**< of the platform's object API */
};

#endif
