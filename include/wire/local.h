/** @file
 * Typed messages on the loopback connection between beryl-entryd and the
 * beryl-controld of the same instance.
 *
 * Entryd sends HELLO, HOLDS, LOAD, LEAVE and APPLIED; controld sends VIEW. The
 * connection's end tells controld that this entryd incarnation is dead.
 */
#ifndef WIRE_LOCAL_H
#define WIRE_LOCAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"
#include "wire/frame.h"

/** Longest text form of an IP address, with its NUL. */
#define LOCAL_ADDRESS_BYTES 48

/** Frame types. */
enum local_type
{
  LOCAL_HELLO = 1, /**< entryd: who it is; first frame */
  LOCAL_VIEW,      /**< controld: configuration and members */
  LOCAL_HOLDS,     /**< entryd: what it holds at the engines */
  LOCAL_LOAD,      /**< entryd: demand of the model services */
  LOCAL_LEAVE,     /**< entryd: a planned stop has begun */
  LOCAL_APPLIED,   /**< entryd: the configuration that it uses */
};

/** Who an entryd is. */
struct local_hello
{
  uint64_t incarnation;
  uint16_t http_port; /**< for callers */
  uint16_t peer_port; /**< for other entryds */
};

/** State of a node as other nodes see it. */
enum local_member_state
{
  LOCAL_MEMBER_LIVE,
  LOCAL_MEMBER_SUSPECT,
  LOCAL_MEMBER_LEAVING,
};

/** One node that runs an entryd, this one included. */
struct local_member
{
  char node[BERYL_NAME_BYTES];
  uint64_t incarnation; /**< of its entryd; 0: entryd is away */
  char address[LOCAL_ADDRESS_BYTES];
  uint16_t http_port;
  uint16_t peer_port;
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  enum local_member_state state;
};

/** What entryd works with until the next view. */
struct local_view
{
  uint64_t config_version; /**< 0: no configuration yet */
  /** JSON array of objects as beryl_config_parse takes it, or NULL if it
   * is the same as in the last view of this connection. */
  char *objects_json;
  size_t objects_bytes;
  struct local_member *members;
  size_t member_count;
  /** Endpoints that the instance list says are leaving. */
  char (*leaving)[BERYL_NAME_BYTES];
  size_t leaving_count;
  /** Age of the last proof that the configuration was the newest. */
  int64_t stale_ms;
  /** True if neither the platform nor any other node has been heard for
   * long: take no new callers. */
  bool isolated;
};

/** A window of streams that may hold memory at an endpoint. */
struct local_hold
{
  char endpoint[BERYL_NAME_BYTES];
  uint64_t incarnation;
  uint64_t from; /**< counters, both inclusive */
  uint64_t to;
};

/** All windows of an entryd; replaces what it sent before. */
struct local_holds
{
  struct local_hold *items;
  size_t count;
};

/** Demand of one service since the last report. */
struct local_load
{
  char service[BERYL_NAME_BYTES];
  uint32_t arrived;
  uint32_t waiting; /**< now, not started for want of a warm endpoint */
  uint32_t running; /**< now */
  uint64_t prompt_tokens;
  uint64_t output_tokens;
};

/** Demand of all services. */
struct local_loads
{
  struct local_load *items;
  size_t count;
};

/** What an entryd uses, which may be older than what it was sent. */
struct local_applied
{
  uint64_t config_version;
};

/** A message; TYPE selects the member. */
struct local_message
{
  enum local_type type;
  union
  {
    struct local_hello hello;
    struct local_view view;
    struct local_holds holds;
    struct local_loads loads;
    struct local_applied applied;
  };
};

/** Begin a new frame in WRITER and put MESSAGE into it. */
void local_put (struct frame_writer *writer,
                const struct local_message *message);

/** Read FRAME; false if it is malformed, over a limit or of another type.
 * MESSAGE is to be released with local_message_clear, also after a failure. */
bool local_read (struct frame *frame, struct local_message *message);

/** Release what MESSAGE points to. */
void local_message_clear (struct local_message *message);

#endif
