/** @file
 * The HTTP interface towards callers.
 */
#ifndef ENTRYD_CALLS_H
#define ENTRYD_CALLS_H

#include "entry.h"

/** Set up the handler of the callers' server. */
void calls_handler_init (struct http_handler *handler);

/** What a caller's headers say; strings live as long as the exchange. */
struct caller
{
  const struct beryl_organisation *organisation;
  char request_id[72];
  const char *key;
  enum beryl_key_kind key_kind;
  uint64_t key_incarnation;
  int64_t deadline_ms; /**< absolute; 0: from the configuration */
};

/** Read the headers; answers with a problem and returns false if they are
 * not acceptable. */
bool caller_read (struct entry *entry, struct http_exchange *ex,
                  struct caller *caller);

/** Whether the call carries the operators' token. */
bool caller_is_operator (const struct entry *entry, struct http_exchange *ex);

/** Whether TEXT is FIRST, "-", an incarnation in 16 hex digits, "-" and
 * anything; bound keys begin with 'b', our own request ids with 'r'. */
bool named_incarnation (const char *text, char first, uint64_t *incarnation);

/** Take EX on as a request of beryl_requests. */
struct entry_request *calls_open (struct entry *entry,
                                  struct http_exchange *ex,
                                  const struct caller *caller,
                                  enum reply_shape shape);

/** Route handlers; PATH is what follows the route's prefix. */
void completions_request (struct entry *entry, struct http_exchange *ex,
                          const char *path);
void chat_request (struct entry *entry, struct http_exchange *ex,
                   const char *path);
void service_request (struct entry *entry, struct http_exchange *ex,
                      const char *path);
void fetch_request (struct entry *entry, struct http_exchange *ex,
                    const char *path);
void discovery_request (struct entry *entry, struct http_exchange *ex,
                        const char *path);
void members_request (struct entry *entry, struct http_exchange *ex,
                      const char *path);
void health_request (struct entry *entry, struct http_exchange *ex,
                     const char *path);
void ready_request (struct entry *entry, struct http_exchange *ex,
                    const char *path);
void metrics_request (struct entry *entry, struct http_exchange *ex,
                      const char *path);

#endif
