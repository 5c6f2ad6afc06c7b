/** @file
 * Platform clients before one store in virtual time, with a network between
 * them that delays, loses, duplicates nothing and answers late.
 */
#ifndef TESTS_PLATFORM_FAKE_H
#define TESTS_PLATFORM_FAKE_H

#include "beryl/platform.h"
#include "store.h"

#define FAKE_CLIENTS_MAX 8
#define FAKE_RESULTS_MAX 1200

/** Probabilities per call in percent, and states, that tests change. */
struct fake_faults
{
  uint32_t lose_request_percent;
  uint32_t lose_reply_percent;
  int64_t delay_max_ms;   /**< each way; 1 at least */
  int64_t stale_max_ms;   /**< age of reads */
  bool outage;            /**< answers 503 */
  bool hang;              /**< answers nothing */
  uint32_t limit_next;    /**< answer that many calls with 429 */
  int64_t write_delay_ms; /**< a write reaches the store that much later */
};

/** The end of a request, with the value of the first object. */
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
  /** A line for each event of a watch: "+name" or "-name". */
  char events[4096];
  uint64_t revision;  /**< last one synced */
  uint32_t instances; /**< in the last list */
  uint32_t syncs;     /* confirmations of watches */
  uint64_t sent;      /**< calls */
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
  struct fake_message *messages; /**< by time */
  uint64_t random;
};

void fake_init (struct fake *fake, uint64_t seed);

/** Add a client. */
struct fake_client *fake_add (struct fake *fake,
                              const struct beryl_platform_settings *settings);

/** Stop CLIENT as a crash would. */
void fake_crash (struct fake_client *client);

/** Run until END_MS. */
void fake_run (struct fake *fake, int64_t end_ms);

/** Run until REQUEST of CLIENT has ended or 60 s have passed. */
const struct fake_result *fake_wait (struct fake_client *client,
                                     uint64_t request);

void fake_destroy (struct fake *fake);

/** Return a number below LIMIT. */
uint64_t fake_random (struct fake *fake, uint64_t limit);

#endif
