/** @file
 * Simulated platform: one store and several clients in virtual time,
 * connected by a network that delays and loses messages but never duplicates
 * them.
 */
#ifndef TESTS_PLATFORM_FAKE_H
#define TESTS_PLATFORM_FAKE_H

#include "beryl/platform.h"
#include "store.h"

#define FAKE_CLIENTS_MAX 8
#define FAKE_RESULTS_MAX 1200

/** Faults that tests inject. */
struct fake_faults
{
  uint32_t lose_request_percent;
  uint32_t lose_reply_percent;
  int64_t delay_max_ms;     /**< longest delay of a message; at least 1 */
  int64_t stale_max_ms;     /**< greatest staleness of reads */
  bool outage;              /**< answer every call with 503 */
  bool hang;                /**< answer no call */
  uint32_t limit_next;      /**< number of calls to answer with 429 */
  bool limit_without_delay; /**< these answers have no Retry-After */
  int64_t
      write_delay_ms; /**< additional delay before a write reaches the store */
};

/** Result of a request, with the value of its first object. */
struct fake_result
{
  uint64_t request;
  enum beryl_error_code code;
  uint64_t version;
  bool overwritten;
  size_t object_count;
  char value[64];
  int64_t at_ms;
};

struct fake;

struct fake_client
{
  struct beryl_platform_handler base;
  struct fake *fake;
  struct beryl_platform *core;
  struct fake_result results[FAKE_RESULTS_MAX];
  size_t result_count;
  /** Events of watches as "+name" or "-name", separated by spaces. */
  char events[4096];
  uint64_t revision;  /**< last one reported as synced */
  uint32_t instances; /**< number in the last list */
  uint32_t syncs;     /**< number of synced callbacks */
  uint64_t sent;      /**< number of calls sent */
  void (*on_result) (struct fake_client *client,
                     const struct beryl_platform_result *result);
  void *user;
};

struct fake_message;

struct fake
{
  int64_t now_ms;
  struct store *store;
  struct store *instances;
  struct fake_faults faults;
  struct fake_client clients[FAKE_CLIENTS_MAX];
  size_t client_count;
  struct fake_message *messages; /**< sorted by time */
  uint64_t random;
};

void fake_init (struct fake *fake, uint64_t seed);

/** Add a client with SETTINGS (NULL: the defaults). */
struct fake_client *fake_add (struct fake *fake,
                              const struct beryl_platform_settings *settings);

/** Destroy CLIENT as a crash would. */
void fake_crash (struct fake_client *client);

/** Run until END_MS. */
void fake_run (struct fake *fake, int64_t end_ms);

/** Run until REQUEST of CLIENT has ended; fails the test after 60 s. */
const struct fake_result *fake_wait (struct fake_client *client,
                                     uint64_t request);

void fake_destroy (struct fake *fake);

/** Return a random number below LIMIT. */
uint64_t fake_random (struct fake *fake, uint64_t limit);

#endif
