#include "arrivals.h"

#include <check.h>
#include <string.h>

/* What has arrived of one request. */
struct request_arrivals
{
  bool any;
  bool prompt_accepted;
  char moved[BERYL_ENGINE_HANDLE_BYTES]; /* memory of its moved run, or "" */
};

static struct request_arrivals *
arrivals_of (GHashTable *requests, uint64_t request)
{
  struct request_arrivals *a
      = g_hash_table_lookup (requests, GSIZE_TO_POINTER (request));

  if (a == NULL)
    {
      a = g_new0 (struct request_arrivals, 1);
      g_hash_table_insert (requests, GSIZE_TO_POINTER (request), a);
    }
  return a;
}

static bool
continues_moved_run (const struct request_arrivals *a,
                     const struct fx_exchange *x)
{
  return x->kind == BERYL_EXCHANGE_RUN && a->moved[0] != '\0'
         && strcmp (x->kv_handle, a->moved) == 0;
}

static bool
is_repeat (struct request_arrivals *a, const struct fx_exchange *x)
{
  if (x->unsent || (x->accepted && continues_moved_run (a, x)))
    return false;
  if (x->kind == BERYL_EXCHANGE_PREFILL && x->accepted && !a->prompt_accepted)
    {
      a->prompt_accepted = true;
      return false;
    }
  if (!a->any)
    {
      a->any = true;
      return false;
    }
  return true;
}

GArray *
arrivals_repeats (const struct fx *fx)
{
  GHashTable *requests = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  GArray *repeats = g_array_new (FALSE, FALSE, sizeof (int64_t));

  for (guint i = 0; i < fx->exchanges->len; i++)
    {
      const struct fx_exchange *x = g_ptr_array_index (fx->exchanges, i);
      struct request_arrivals *a = arrivals_of (requests, x->request);

      if (x->kind == BERYL_EXCHANGE_MOVE)
        memcpy (a->moved, x->result_handle, sizeof a->moved);
      else if ((x->kind == BERYL_EXCHANGE_RUN
                || x->kind == BERYL_EXCHANGE_PREFILL)
               && is_repeat (a, x))
        g_array_append_val (repeats, x->started_ms);
    }
  g_hash_table_unref (requests);
  return repeats;
}

static uint32_t
count_within (const GArray *times_ms, int64_t from_ms, int64_t until_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < times_ms->len; i++)
    {
      int64_t at_ms = g_array_index (times_ms, int64_t, i);

      count += at_ms >= from_ms && at_ms < until_ms;
    }
  return count;
}

void
arrivals_check (const GArray *repeats, const GArray *requests, double ratio,
                uint32_t slack, int64_t window_ms)
{
  for (guint i = 0; i < repeats->len; i++)
    {
      int64_t from_ms = g_array_index (repeats, int64_t, i);
      uint32_t arrived = count_within (repeats, from_ms, from_ms + window_ms);
      uint32_t here = count_within (requests, from_ms, from_ms + window_ms);
      uint32_t before = count_within (requests, from_ms - window_ms, from_ms);
      uint32_t half = count_within (requests, from_ms - window_ms / 2,
                                    from_ms + window_ms / 2);
      double allowed = ratio * MAX (MAX (here, before), half) + slack;

      ck_assert_msg (arrived <= allowed,
                     "%u repeats arrive from %d ms on, %.1f are allowed",
                     arrived, (int)from_ms, allowed);
    }
}
