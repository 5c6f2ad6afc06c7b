#include "beryl/discovery.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "homes.h"

/* Live nodes of the nearest place that share an organisation's calls, and
 * farther ones that a caller turns to when these fail. */
#define SHARING_MAX 4
#define FALLBACK_MAX 2

struct place
{
  char name[BERYL_NAME_BYTES];
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  uint64_t hash;
  size_t index; /* in the caller's list */
  bool leaving;
  bool suspect;
};

struct beryl_discovery
{
  struct place *nodes; /* by hash */
  size_t node_count;
  struct home *homes; /* data centres of live nodes; names are the nodes' */
  size_t home_count;
  uint64_t *organisations; /* hashes, ascending */
  size_t organisation_count;
  struct homed_organisation
      *homed; /* those with a data centre, by it and by hash */
  size_t homed_count;
};

/* How far a node is from the caller. */
enum ring
{
  RING_DATA_CENTRE,
  RING_REGION,
  RING_ANY,
  RING_COUNT,
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
compare_places (const void *a, const void *b)
{
  const struct place *x = a;
  const struct place *y = b;

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
place_is_live (const struct place *p)
{
  return !p->leaving && !p->suspect;
}

static size_t
homes_collect (const struct place *places, size_t place_count,
               struct home *homes)
{
  size_t n = 0;

  for (size_t i = 0; i < place_count; i++)
    {
      const struct place *p = &places[i];
      size_t h = 0;

      if (!place_is_live (p))
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
  struct place *places = calloc (node_count + 1, sizeof *places);
  struct home *homes = calloc (node_count + 1, sizeof *homes);

  if (places == NULL || homes == NULL)
    {
      free (places);
      free (homes);
      return false;
    }
  for (size_t i = 0; i < node_count; i++)
    {
      struct place *p = &places[i];

      copy_name (p->name, nodes[i].name);
      copy_name (p->data_centre, nodes[i].data_centre);
      copy_name (p->region, nodes[i].region);
      p->hash = XXH3_64bits (p->name, strlen (p->name));
      p->index = i;
      p->leaving = nodes[i].leaving;
      p->suspect = nodes[i].suspect;
    }
  qsort (places, node_count, sizeof *places, compare_places);
  free (discovery->nodes);
  free (discovery->homes);
  discovery->nodes = places;
  discovery->node_count = node_count;
  discovery->homes = homes;
  discovery->home_count = homes_collect (places, node_count, homes);
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

/* Where the organisation stands among all, in [0, 1).  Equal steps between
 * neighbours give every node the same number of organisations; the bare
 * hash would leave the spread to chance. */
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

/* Ranks over all organisations are even only if all ask everywhere.  Those
 * that ask in one data centre are a random part of them: at 400 nodes in ten
 * data centres some node had 54.5% above the mean.  One that belongs to the
 * asking data centre is ranked among its own. */
static bool
organisation_home (const struct beryl_discovery *discovery,
                   const char *organisation, const char *data_centre,
                   struct home_position *place)
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
                        discovery->homed_count, &key, place);
  free (homes);
  return found;
}

static enum ring
place_ring (const struct place *p, const char *data_centre, const char *region)
{
  if (data_centre[0] != '\0' && strcmp (p->data_centre, data_centre) == 0)
    return RING_DATA_CENTRE;
  if (region[0] != '\0' && strcmp (p->region, region) == 0)
    return RING_REGION;
  return RING_ANY;
}

static size_t
ring_collect (const struct beryl_discovery *discovery, enum ring ring,
              const char *data_centre, const char *region, bool suspect,
              size_t *members)
{
  size_t n = 0;

  for (size_t i = 0; i < discovery->node_count; i++)
    {
      const struct place *p = &discovery->nodes[i];

      if (p->leaving || p->suspect != suspect)
        continue;
      if (place_ring (p, data_centre, region) == ring)
        members[n++] = i;
    }
  return n;
}

static size_t
ring_append (const struct beryl_discovery *discovery, const size_t *members,
             size_t member_count, double position, size_t most,
             struct beryl_discovery_choice *choices, size_t chosen)
{
  size_t first = (size_t)(position * (double)member_count);

  for (size_t i = 0; i < member_count && i < most; i++)
    {
      size_t m = members[(first + i) % member_count];

      choices[chosen].node = discovery->nodes[m].index;
      choices[chosen].weight = 0;
      chosen++;
    }
  return chosen;
}

static void
share_weights (struct beryl_discovery_choice *choices, size_t sharing)
{
  for (size_t i = 0; i < sharing; i++)
    {
      size_t extra = i < 100 % sharing ? 1 : 0;

      choices[i].weight = (uint32_t)(100 / sharing + extra);
    }
}

static size_t
least (size_t a, size_t b)
{
  return a < b ? a : b;
}

size_t
beryl_discovery_choose (const struct beryl_discovery *discovery,
                        const char *organisation, const char *data_centre,
                        const char *region,
                        struct beryl_discovery_choice *choices, size_t max)
{
  struct home_position place = { data_centre, region, 0 };
  size_t *members = calloc (discovery->node_count + 1, sizeof *members);
  size_t chosen = 0;
  size_t sharing = 0;

  if (members == NULL)
    return 0;
  if (!organisation_home (discovery, organisation, data_centre, &place))
    place.position = organisation_position (discovery, organisation);
  /* Suspects come after every live node of every ring: a wrong suspicion
   * may not empty the answer, and a right one may not head it. */
  for (int suspect = 0; suspect <= 1; suspect++)
    for (int ring = 0; ring < RING_COUNT; ring++)
      {
        size_t most = sharing == 0 ? SHARING_MAX : FALLBACK_MAX;
        size_t n = ring_collect (discovery, (enum ring)ring, place.data_centre,
                                 place.region, suspect != 0, members);

        chosen = ring_append (discovery, members, n, place.position,
                              least (most, max - chosen), choices, chosen);
        if (sharing == 0)
          sharing = chosen;
      }
  free (members);
  if (sharing > 0)
    share_weights (choices, sharing);
  return chosen;
}
