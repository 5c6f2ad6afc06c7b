#include "beryl/discovery.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "homes.h"

/* Maximum number of live nodes that share an organisation's calls, and of
 * fallback nodes from each farther group. */
#define SHARING_MAX 4
#define FALLBACK_MAX 2

struct node_entry
{
  char name[BERYL_NAME_BYTES];
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  uint64_t hash;
  size_t index; /* in the array passed by the caller */
  bool leaving;
  bool suspect;
};

struct beryl_discovery
{
  struct node_entry *nodes; /* sorted by hash */
  size_t node_count;
  struct home *homes; /* data centres with live nodes; borrows their names */
  size_t home_count;
  uint64_t *organisations; /* hashes of the names, ascending */
  size_t organisation_count;
  struct homed_organisation *homed; /* those with a home data centre, sorted */
  size_t homed_count;
};

/* Proximity of a node to the caller, nearest first. */
enum proximity
{
  PROXIMITY_DATA_CENTRE,
  PROXIMITY_REGION,
  PROXIMITY_ANY,
  PROXIMITY_COUNT,
};

struct beryl_discovery *
beryl_discovery_create (void)
{
  return calloc (1, sizeof (struct beryl_discovery));
}

void
beryl_discovery_destroy (struct beryl_discovery *discovery)
{
  if (discovery == NULL)
    return;
  free (discovery->nodes);
  free (discovery->homes);
  free (discovery->organisations);
  free (discovery->homed);
  free (discovery);
}

static void
copy_name (char *to, const char *from)
{
  size_t n = from != NULL ? strnlen (from, BERYL_NAME_BYTES - 1) : 0;

  if (n > 0)
    memcpy (to, from, n);
  to[n] = '\0';
}

static int
compare_nodes (const void *a, const void *b)
{
  const struct node_entry *x = a;
  const struct node_entry *y = b;

  if (x->hash != y->hash)
    return x->hash < y->hash ? -1 : 1;
  return strcmp (x->name, y->name);
}

static int
compare_hashes (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return (x > y) - (x < y);
}

static bool
node_is_live (const struct node_entry *p)
{
  return !p->leaving && !p->suspect;
}

static size_t
homes_collect (const struct node_entry *entries, size_t entry_count,
               struct home *homes)
{
  size_t n = 0;

  for (size_t i = 0; i < entry_count; i++)
    {
      const struct node_entry *p = &entries[i];
      size_t h = 0;

      if (!node_is_live (p))
        continue;
      while (h < n && strcmp (homes[h].data_centre, p->data_centre) != 0)
        h++;
      if (h == n)
        {
          homes[n].data_centre = p->data_centre;
          homes[n++].region = p->region;
        }
      homes[h].nodes++;
    }
  return n;
}

bool
beryl_discovery_set_nodes (struct beryl_discovery *discovery,
                           const struct beryl_discovery_node *nodes,
                           size_t node_count)
{
  struct node_entry *entries = calloc (node_count + 1, sizeof *entries);
  struct home *homes = calloc (node_count + 1, sizeof *homes);

  if (entries == NULL || homes == NULL)
    {
      free (entries);
      free (homes);
      return false;
    }
  for (size_t i = 0; i < node_count; i++)
    {
      struct node_entry *p = &entries[i];

      copy_name (p->name, nodes[i].name);
      copy_name (p->data_centre, nodes[i].data_centre);
      copy_name (p->region, nodes[i].region);
      p->hash = XXH3_64bits (p->name, strlen (p->name));
      p->index = i;
      p->leaving = nodes[i].leaving;
      p->suspect = nodes[i].suspect;
    }
  qsort (entries, node_count, sizeof *entries, compare_nodes);
  free (discovery->nodes);
  free (discovery->homes);
  discovery->nodes = entries;
  discovery->node_count = node_count;
  discovery->homes = homes;
  discovery->home_count = homes_collect (entries, node_count, homes);
  return true;
}

bool
beryl_discovery_set_organisations (
    struct beryl_discovery *discovery,
    const struct beryl_discovery_organisation *organisations,
    size_t organisation_count)
{
  uint64_t *hashes = calloc (organisation_count + 1, sizeof *hashes);
  struct homed_organisation *homed
      = calloc (organisation_count + 1, sizeof *homed);
  size_t homed_count = 0;

  if (hashes == NULL || homed == NULL)
    {
      free (hashes);
      free (homed);
      return false;
    }
  for (size_t i = 0; i < organisation_count; i++)
    {
      const struct beryl_discovery_organisation *o = &organisations[i];

      hashes[i] = XXH3_64bits (o->name, strlen (o->name));
      if (o->data_centre[0] == '\0')
        continue;
      homed[homed_count].hash = hashes[i];
      copy_name (homed[homed_count++].data_centre, o->data_centre);
    }
  qsort (hashes, organisation_count, sizeof *hashes, compare_hashes);
  qsort (homed, homed_count, sizeof *homed, homed_organisation_compare);
  free (discovery->organisations);
  free (discovery->homed);
  discovery->organisations = hashes;
  discovery->organisation_count = organisation_count;
  discovery->homed = homed;
  discovery->homed_count = homed_count;
  return true;
}

/* Returns the position of the organisation among all of them, in [0, 1).
 * Ranking by hash spaces organisations equally, so that every node gets the
 * same number of them; using the hash itself would distribute them randomly.
 */
static double
organisation_position (const struct beryl_discovery *discovery,
                       const char *organisation)
{
  uint64_t hash = XXH3_64bits (organisation, strlen (organisation));
  size_t low = 0;
  size_t high = discovery->organisation_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (discovery->organisations[middle] < hash)
        low = middle + 1;
      else
        high = middle;
    }
  if (low < discovery->organisation_count
      && discovery->organisations[low] == hash)
    return (double)low / (double)discovery->organisation_count;
  return (double)(hash >> 11) / (double)(1ULL << 53);
}

/* Finds the data centre that serves an organisation whose home is DATA_CENTRE,
 * and its position there; returns false if it has another home or none.  Such
 * an organisation is ranked among those with the same home: ranks over all
 * organisations are even only over all nodes, and those with callers in one
 * data centre are a random subset.  With 400 nodes in ten data centres some
 * node had 54.5% more than the mean. */
static bool
organisation_locate (const struct beryl_discovery *discovery,
                     const char *organisation, const char *data_centre,
                     struct home_position *position)
{
  struct homed_organisation key
      = { .hash = XXH3_64bits (organisation, strlen (organisation)) };
  struct home *homes;
  bool found = false;

  copy_name (key.data_centre, data_centre);
  if (discovery->homed_count == 0
      || bsearch (&key, discovery->homed, discovery->homed_count,
                  sizeof *discovery->homed, homed_organisation_compare)
             == NULL)
    return false;
  homes = calloc (discovery->home_count + 1, sizeof *homes);
  if (homes == NULL)
    return false;
  if (discovery->home_count > 0)
    memcpy (homes, discovery->homes, discovery->home_count * sizeof *homes);
  found = homes_locate (homes, discovery->home_count, discovery->homed,
                        discovery->homed_count, &key, position);
  free (homes);
  return found;
}

static enum proximity
node_proximity (const struct node_entry *p, const char *data_centre,
                const char *region)
{
  if (data_centre[0] != '\0' && strcmp (p->data_centre, data_centre) == 0)
    return PROXIMITY_DATA_CENTRE;
  if (region[0] != '\0' && strcmp (p->region, region) == 0)
    return PROXIMITY_REGION;
  return PROXIMITY_ANY;
}

static size_t
proximity_collect (const struct beryl_discovery *discovery,
                   enum proximity proximity, const char *data_centre,
                   const char *region, bool suspect, size_t *members)
{
  size_t n = 0;

  for (size_t i = 0; i < discovery->node_count; i++)
    {
      const struct node_entry *p = &discovery->nodes[i];

      if (p->leaving || p->suspect != suspect)
        continue;
      if (node_proximity (p, data_centre, region) == proximity)
        members[n++] = i;
    }
  return n;
}

static size_t
choices_append (const struct beryl_discovery *discovery, const size_t *members,
                size_t member_count, double position, size_t limit,
                struct beryl_discovery_choice *choices, size_t chosen)
{
  size_t first = (size_t)(position * (double)member_count);

  for (size_t i = 0; i < member_count && i < limit; i++)
    {
      size_t m = members[(first + i) % member_count];

      choices[chosen].node = discovery->nodes[m].index;
      choices[chosen].weight = 0;
      chosen++;
    }
  return chosen;
}

static void
share_weights (struct beryl_discovery_choice *choices, size_t weighted_count)
{
  for (size_t i = 0; i < weighted_count; i++)
    {
      size_t extra = i < 100 % weighted_count ? 1 : 0;

      choices[i].weight = (uint32_t)(100 / weighted_count + extra);
    }
}

static size_t
min_size (size_t a, size_t b)
{
  return a < b ? a : b;
}

size_t
beryl_discovery_choose (const struct beryl_discovery *discovery,
                        const char *organisation, const char *data_centre,
                        const char *region,
                        struct beryl_discovery_choice *choices, size_t max)
{
  struct home_position home = { data_centre, region, 0 };
  size_t *members = calloc (discovery->node_count + 1, sizeof *members);
  size_t chosen = 0;
  size_t weighted_count = 0;

  if (members == NULL)
    return 0;
  if (!organisation_locate (discovery, organisation, data_centre, &home))
    home.position = organisation_position (discovery, organisation);
  /* Suspect nodes follow all live nodes: a false suspicion must not leave the
   * answer empty, and a true one must not put a dead node first. */
  for (int suspect = 0; suspect <= 1; suspect++)
    for (int proximity = 0; proximity < PROXIMITY_COUNT; proximity++)
      {
        size_t limit = weighted_count == 0 ? SHARING_MAX : FALLBACK_MAX;
        size_t n = proximity_collect (discovery, (enum proximity)proximity,
                                      home.data_centre, home.region,
                                      suspect != 0, members);

        chosen
            = choices_append (discovery, members, n, home.position,
                              min_size (limit, max - chosen), choices, chosen);
        if (weighted_count == 0)
          weighted_count = chosen;
      }
  free (members);
  if (weighted_count > 0)
    share_weights (choices, weighted_count);
  return chosen;
}
