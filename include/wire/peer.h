/** @file
 * Typed messages between two beryl-entryd processes.
 *
 * Either side may ask: a call is forwarded to the node of its key, an answer
 * is fetched, a claim is sent to its shard's home.  ID is chosen by the
 * asker and echoed.  Deadlines travel as time left, since no two clocks are
 * compared.
 */
#ifndef WIRE_PEER_H
#define WIRE_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/claims.h"
#include "beryl/ids.h"
#include "beryl/requests.h"
#include "wire/frame.h"

/** Longest texts, with their NUL. */
#define PEER_KEY_BYTES 256
#define PEER_ID_BYTES 128
#define PEER_PATH_BYTES 2048
#define PEER_TYPE_BYTES 128
#define PEER_DETAIL_BYTES 256

/** Frame types. */
enum peer_type
{
  PEER_HELLO = 64,     /**< who connects; first frame both ways */
  PEER_CLAIM,          /**< struct beryl_claim_message, both types */
  PEER_FORWARD,        /**< a call for the node of its key */
  PEER_FETCH,          /**< an outcome or the rest of an answer */
  PEER_HEAD,           /**< reply to FORWARD or FETCH: it begins */
  PEER_DATA,           /**< its next bytes */
  PEER_END,            /**< it is whole */
  PEER_ERROR,          /**< the only answer: a problem */
  PEER_CUT,            /**< it ends incomplete */
  PEER_CALLER_GONE,    /**< the asker's caller has gone */
  PEER_CALLER_DRAINED, /**< the asker's caller has read what was sent */
};

/** Who connects. */
struct peer_hello
{
  char node[BERYL_NAME_BYTES];
  uint64_t incarnation;
};

/** A forwarded call; BODY and PROMPT point into the frame. */
struct peer_forward
{
  char request_id[PEER_ID_BYTES];
  char organisation[BERYL_NAME_BYTES];
  char service[BERYL_NAME_BYTES];
  char method[16];
  char path[PEER_PATH_BYTES];
  char content_type[PEER_TYPE_BYTES];
  char key[PEER_KEY_BYTES];
  enum beryl_key_kind key_kind;
  uint64_t key_incarnation;
  int64_t time_left_ms; /**< INT64_MAX: no deadline */
  bool stream;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  const void *body;
  size_t body_bytes;
  const void *prompt;
  size_t prompt_bytes;
};

/** An outcome that is asked for. */
struct peer_fetch
{
  char organisation[BERYL_NAME_BYTES];
  char request_id[PEER_KEY_BYTES]; /**< or the key */
  uint64_t offset;
};

/** An answer's head. */
struct peer_head
{
  unsigned int status;
  char content_type[PEER_TYPE_BYTES];
};

/** Bytes of an answer; BYTES points into the frame. */
struct peer_data
{
  uint64_t offset;
  const void *bytes;
  size_t bytes_count;
  uint32_t tokens;
};

/** An answer's end. */
struct peer_end
{
  char finish_reason[32];
  uint64_t answer_bytes;
  uint32_t prompt_tokens;
  uint32_t completion_tokens;
};

/** A problem. */
struct peer_error
{
  enum beryl_problem problem;
  enum beryl_outcome outcome;
  int64_t retry_after_ms;
  char detail[PEER_DETAIL_BYTES];
};

/** One message. */
struct peer_message
{
  enum peer_type type;
  uint64_t id; /**< not of HELLO and CLAIM */
  union
  {
    struct peer_hello hello;
    struct beryl_claim_message claim;
    struct peer_forward forward;
    struct peer_fetch fetch;
    struct peer_head head;
    struct peer_data data;
    struct peer_end end;
    struct peer_error error;
  };
};

/** Fill FORWARD from CALL, whose deadline is absolute. */
void peer_forward_from_call (struct peer_forward *forward,
                             const struct beryl_call *call, int64_t now_ms);

/** Fill CALL from FORWARD; it points into FORWARD, and REQUEST is the
 * receiver's handle. */
void peer_forward_to_call (const struct peer_forward *forward,
                           uint64_t request, struct beryl_call *call,
                           int64_t now_ms);

/** Write MESSAGE into WRITER, which is reset first. */
void peer_put (struct frame_writer *writer,
               const struct peer_message *message);

/** Read a message; false if FRAME is of another type or malformed. */
bool peer_read (struct frame *frame, struct peer_message *message);

#endif
