#include "homes.h"

#include <stdlib.h>
#include <string.h>

/* Maximum percentage of a data centre's organisations that are reassigned;
 * limited since calls to a remote node take longer. */
#define REASSIGNED_MAX_PERCENT 25

int
homed_organisation_compare (const void *a, const void *b)
{
  const struct homed_organisation *x = a;
  const struct homed_organisation *y = b;
  int order = strcmp (x->data_centre, y->data_centre);

  if (order != 0)
    return order;
  return (x->hash > y->hash) - (x->hash < y->hash);
}

/* Sorts by region, then by data centre. */
static int
compare_homes (const void *a, const void *b)
{
  const struct home *x = a;
  const struct home *y = b;
  int order = strcmp (x->region, y->region);

  return order != 0 ? order : strcmp (x->data_centre, y->data_centre);
}

static struct home *
home_find (struct home *homes, size_t home_count, const char *data_centre)
{
  for (size_t i = 0; i < home_count; i++)
    if (strcmp (homes[i].data_centre, data_centre) == 0)
      return &homes[i];
  return NULL;
}

/* Counts the organisations sorted before HASH of DATA_CENTRE. */
static size_t
organisations_before (const struct homed_organisation *organisations,
                      size_t organisation_count, const char *data_centre,
                      uint64_t hash)
{
  size_t low = 0;
  size_t high = organisation_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const struct homed_organisation *o = &organisations[middle];
      int order = strcmp (o->data_centre, data_centre);

      if (order < 0 || (order == 0 && o->hash < hash))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Counts the organisations of DATA_CENTRE.  One whose name hashes to
 * UINT64_MAX is not counted. */
static size_t
organisations_in (const struct homed_organisation *organisations,
                  size_t organisation_count, const char *data_centre)
{
  return organisations_before (organisations, organisation_count, data_centre,
                               UINT64_MAX)
         - organisations_before (organisations, organisation_count,
                                 data_centre, 0);
}

/* Sets the organisation counts of HOMES and returns their sum. */
static size_t
homes_count (struct home *homes, size_t home_count,
             const struct homed_organisation *organisations,
             size_t organisation_count)
{
  size_t total = 0;

  for (size_t i = 0; i < home_count; i++)
    {
      homes[i].organisations = organisations_in (
          organisations, organisation_count, homes[i].data_centre);
      total += homes[i].organisations;
    }
  return total;
}

static size_t
min_size (size_t a, size_t b)
{
  return a < b ? a : b;
}

/* Divides TOTAL organisations among HOMES in proportion to their nodes, in
 * whole numbers, and derives what each home retains and can receive. */
static void
homes_assign (struct home *homes, size_t home_count, size_t total)
{
  size_t nodes = 0;
  size_t before = 0;

  for (size_t i = 0; i < home_count; i++)
    nodes += homes[i].nodes;
  for (size_t i = 0; i < home_count; i++)
    {
      struct home *h = &homes[i];
      size_t fair
          = total * (before + h->nodes) / nodes - total * before / nodes;

      before += h->nodes;
      h->retained = h->organisations;
      h->spare = fair > h->organisations ? fair - h->organisations : 0;
      if (h->organisations > fair)
        h->retained
            -= min_size (h->organisations - fair,
                         h->organisations * REASSIGNED_MAX_PERCENT / 100);
    }
}

/* Looks up where one organisation is reassigned.  FROM and RANK are set by the
 * caller, TO and TARGET_RANK by home_reassign. */
struct reassignment
{
  const struct home *from; /* NULL: the organisation is not reassigned */
  size_t rank;             /* among those reassigned by FROM */
  const struct home *to;   /* NULL: it stays at its home */
  size_t target_rank;      /* its rank at TO */
};

/* Reassigns surplus organisations of FROM to homes with spare capacity, in its
 * region or in any.  REASSIGNED counts those already reassigned.  Sets the
 * target of LOOKUP's organisation if it is among them. */
static void
home_reassign (struct home *homes, size_t home_count, const struct home *from,
               bool any_region, size_t *reassigned,
               struct reassignment *lookup)
{
  size_t surplus = from->organisations - from->retained;

  for (size_t i = 0; i < home_count && *reassigned < surplus; i++)
    {
      struct home *to = &homes[i];
      size_t n = min_size (surplus - *reassigned, to->spare - to->received);

      if (!any_region && strcmp (to->region, from->region) != 0)
        continue;
      if (lookup->from == from && lookup->rank >= *reassigned
          && lookup->rank < *reassigned + n)
        {
          lookup->to = to;
          lookup->target_rank
              = to->retained + to->received + lookup->rank - *reassigned;
        }
      to->received += n;
      *reassigned += n;
    }
}

static bool
homes_reassign (struct home *homes, size_t home_count,
                struct reassignment *lookup)
{
  size_t *reassigned = calloc (home_count, sizeof *reassigned);

  if (reassigned == NULL)
    return false;
  for (int any_region = 0; any_region <= 1; any_region++)
    for (size_t i = 0; i < home_count; i++)
      home_reassign (homes, home_count, &homes[i], any_region != 0,
                     &reassigned[i], lookup);
  free (reassigned);
  return true;
}

bool
homes_locate (struct home *homes, size_t home_count,
              const struct homed_organisation *organisations,
              size_t organisation_count,
              const struct homed_organisation *organisation,
              struct home_position *result)
{
  const struct home *home;
  struct reassignment lookup = { 0 };
  const char *name = organisation->data_centre;
  size_t count = organisations_in (organisations, organisation_count, name);
  size_t rank
      = organisations_before (organisations, organisation_count, name,
                              organisation->hash)
        - organisations_before (organisations, organisation_count, name, 0);

  if (count == 0)
    return false;
  result->position = (double)rank / (double)count;
  qsort (homes, home_count, sizeof *homes, compare_homes);
  home = home_find (homes, home_count, name);
  if (home == NULL)
    return true; /* no live node: the rank applies to the region's nodes */
  homes_assign (
      homes, home_count,
      homes_count (homes, home_count, organisations, organisation_count));
  if (rank >= home->retained)
    lookup
        = (struct reassignment){ .from = home, .rank = rank - home->retained };
  if (!homes_reassign (homes, home_count, &lookup))
    return false;
  if (lookup.to != NULL)
    {
      home = lookup.to;
      rank = lookup.target_rank;
    }
  result->data_centre = home->data_centre;
  result->region = home->region;
  result->position = (double)rank / (double)(home->retained + home->received);
  return true;
}
