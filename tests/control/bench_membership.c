/* Membership in virtual time at several cluster sizes: idle traffic, and the
 * time until a dead node and a lost data centre are suspect everywhere. */
#include <stdio.h>
#include <stdlib.h>

#include "cluster.h"

#define LIMIT_MS 120000
#define IDLE_MS 30000
#define SIZES 5

struct row
{
  int nodes;
  int64_t converged_ms;
  uint64_t idle_bytes_per_s;
  int64_t detect_node_ms;
  int64_t detect_data_centre_ms;
};

static void
row_measure (struct row *row, uint32_t loss_percent)
{
  int data_centres = row->nodes >= 100 ? 10 : 4;
  struct cluster *c = cluster_create (1, row->nodes, data_centres, 3);
  uint64_t before;

  c->loss_percent = loss_percent;
  row->converged_ms = cluster_until_alive (c, LIMIT_MS);
  cluster_run (c, IDLE_MS);
  before = cluster_sent_bytes (c);
  cluster_run (c, IDLE_MS);
  row->idle_bytes_per_s = (cluster_sent_bytes (c) - before)
                          / (uint64_t)row->nodes / (IDLE_MS / 1000);
  c->nodes[1].down = true;
  row->detect_node_ms = cluster_until_suspected (c, 1, LIMIT_MS);
  row->detect_data_centre_ms = cluster_lose_data_centre (c, 2, LIMIT_MS);
  cluster_destroy (c);
}

int
main (int argc, char **argv)
{
  struct row rows[SIZES] = { { .nodes = 8 },
                             { .nodes = 32 },
                             { .nodes = 100 },
                             { .nodes = 200 },
                             { .nodes = 400 } };
  uint32_t loss_percent = argc > 1 ? (uint32_t)atoi (argv[1]) : 0;

  printf ("loss %u%%\nnodes  found ms  rest B/s  dead ms  lost DC ms\n",
          loss_percent);
  for (int i = 0; i < SIZES; i++)
    {
      row_measure (&rows[i], loss_percent);
      printf ("%5d  %8ld  %8lu  %7ld  %10ld\n", rows[i].nodes,
              rows[i].converged_ms, rows[i].idle_bytes_per_s,
              rows[i].detect_node_ms, rows[i].detect_data_centre_ms);
      fflush (stdout);
    }
  printf ("{\"bench\":\"membership\",\"loss_percent\":%u,\"rows\":[",
          loss_percent);
  for (int i = 0; i < SIZES; i++)
    printf ("%s{\"nodes\":%d,\"found_ms\":%ld,\"rest_bytes_per_s\":%lu,"
            "\"dead_ms\":%ld,\"lost_data_centre_ms\":%ld}",
            i > 0 ? "," : "", rows[i].nodes, rows[i].converged_ms,
            rows[i].idle_bytes_per_s, rows[i].detect_node_ms,
            rows[i].detect_data_centre_ms);
  printf ("]}\n");
  return 0;
}
