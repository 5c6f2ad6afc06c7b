/** @file
 * Structures and functions shared by the modules of the learned capacity of
 * endpoints.
 */
#ifndef DECIDE_CAPACITY_PRIVATE_H
#define DECIDE_CAPACITY_PRIVATE_H

#include <stdbool.h>

#include "../base/map.h"
#include "beryl/capacity.h"

/** Interval at which the observations of all nodes are merged. */
#define MERGE_MS 150
/** Moments that an entry remembers. */
#define HISTORY 16
/** Weight of observations from which on an estimate is rather sure than not.
 */
#define WEIGHT_SURE 4.0
/** Part of an endpoint's slots that is used before it slows down, at first. */
#define KNEE_INITIAL 0.9
#define ENTRIES_MAX 2048
/** An entry that nobody mentions for this long is released. */
#define ENTRY_KEEP_MS 60000

/* Decayed sums of what one node sees of an endpoint. */
struct window
{
  double count;
  double units;
  double took_ms;
  double sent;
  double refused;
  int64_t updated_ms;
};

/* What one peer has reported. */
struct record
{
  uint32_t node; /* index in the table of nodes */
  float weight;
  float ms;
  float sent_per_s;
  float refused;
  int64_t reported_ms;
};

/* Estimates at one moment. */
struct moment
{
  int64_t at_ms;
  double ms;
  double rate_per_s;
};

/* The endpoints that do one kind of work for a service. */
struct group
{
  uint32_t service;
  enum beryl_work work;
  double median_ms;
  int64_t median_at_ms;
};

struct entry
{
  struct beryl_capacity_key key;
  struct group *group;
  struct window own;
  bool answered;   /* some work was done, so that the median counts it */
  bool changed;    /* since its last report */
  int64_t news_ms; /* when it was last reported at once */
  struct record *records;
  uint32_t record_count, record_capacity;
  /* Merged from all nodes. */
  int64_t merged_ms;
  int64_t observed_ms; /* when the observations last sufficed */
  int64_t newest_ms;
  int64_t mentioned_ms;
  uint32_t nodes;
  double weight;
  double sent_per_s;
  double refused_per_s;
  struct moment history[HISTORY];
  uint32_t history_next;
  double ms;          /* time of a unit; 0: unknown */
  double unloaded_ms; /* 0: unknown */
  double rate_per_s;  /* highest rate of late */
  double speed;       /* while it was last observed */
  double knee;
  int64_t knee_cut_ms;
  uint32_t slots;
};

struct node
{
  uint32_t hash;
  int64_t reported_ms;
};

struct beryl_capacity
{
  struct map by_key;
  struct map node_slots; /* index + 1 */
  struct entry **entries;
  size_t entry_count;
  struct group **groups;
  size_t group_count;
  struct node *nodes;
  uint32_t node_count;
  size_t report_next; /* entry from which the next report starts */
  bool report_due;
};

/** Return the factor by which observations of AGE_MS have lost weight. */
double capacity_decay (int64_t age_ms, double window_ms);

/** Return the time constant of E's observations. */
double capacity_window_ms (const struct entry *e);

/** Let this node's observations of E lose weight. */
void capacity_decay_own (struct entry *e, int64_t now_ms);

/** Return the mean time of a unit in W; 0 if there is none. */
double capacity_unit_ms (const struct window *w);

/** Make the estimates of E anew if they are older than MERGE_MS. */
void capacity_merge (struct beryl_capacity *capacity, struct entry *e,
                     int64_t now_ms);

/** Return units per second that SLOTS finish which are all occupied, or those
 * that the endpoint has been seen to keep up with. */
double capacity_full_rate (const struct entry *e, uint32_t slots, double ms);

/** Return the median time of a unit at the endpoints of G that have answered;
 * G may be NULL; 0 if unknown. */
double capacity_median_ms (struct beryl_capacity *capacity, struct group *g,
                           int64_t now_ms);

/** Return whether E was slow and has not been observed of late. */
bool capacity_is_unproven (const struct entry *e);

/** Return the speed of E relative to endpoints that take MEDIAN_MS. */
double capacity_relative_speed (struct entry *e, double median_ms);

#endif
