/** @file
 * Simulated fleet whose nodes watch one configuration object in a store and
 * tell each other of changes.  The store's calls may go silent, its links are
 * shared, and its list may lag.
 */
#ifndef TESTS_CONTROL_CONFIG_FLEET_H
#define TESTS_CONTROL_CONFIG_FLEET_H

#include "beryl/freshness.h"
#include "beryl/platform.h"
#include "cluster.h"

struct config_fleet;

/** A node's view of the configuration. */
struct config_node
{
  struct beryl_platform_handler base;
  struct config_fleet *fleet;
  struct node *member;
  struct beryl_platform *store;
  struct beryl_freshness *freshness;
  uint64_t watch;
  uint64_t revision;    /**< in use */
  int64_t in_use_ms;    /**< since when */
  int64_t link_free_ms; /**< when the node's link has sent or received all */
  bool turned_away;     /**< the store answers none of its calls */
  bool pulling;
  uint64_t calls;
};

struct call;

struct config_fleet
{
  struct cluster *cluster;
  struct config_node nodes[NODES_MAX];
  int count;
  int64_t bound_ms;
  int64_t started_ms;
  int missing;             /**< node that the others take for gone; -1: none */
  uint64_t revision;       /**< of the configuration in the store */
  uint64_t store_revision; /**< of the newest change of any object */
  uint64_t history_start;
  uint64_t listed_revision; /**< what a list shows while it lags; 0: all */
  int64_t changed_ms;       /**< of the last change */
  int64_t store_free_ms;    /**< when the store's link has sent all */
  int64_t transfer_ms;      /**< of the configuration on a node's link */
  struct call *calls;       /**< that wait at the store */
};

/** Start NODES nodes in DATA_CENTRES, which must have a change in use within
 * BOUND_MS, and run until all know each other and the first revision. */
struct config_fleet *config_fleet_create (uint64_t seed, int nodes,
                                          int data_centres, int64_t bound_ms);
void config_fleet_destroy (struct config_fleet *f);

/** Run for FOR_MS. */
void config_fleet_run (struct config_fleet *f, int64_t for_ms);

/** Write a new revision; the calls that wait are answered. */
void config_fleet_change (struct config_fleet *f);

/** Leave the waiting calls of data centre DC (-1: of all) without an answer
 * for ever, but for those of node SPARED (-1: none). */
void config_fleet_silence (struct config_fleet *f, int dc, int spared);

/** Drop the history and cut the waiting calls. */
void config_fleet_compact (struct config_fleet *f);

/** Run until all running nodes use the newest revision or FOR_MS are over;
 * return how many do not. */
int config_fleet_wait (struct config_fleet *f, int64_t for_ms);

#endif
