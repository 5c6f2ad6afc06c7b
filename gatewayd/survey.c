#include "survey.h"

#include <glib.h>

#include "engine_call.h"

/* Interval at which the node checks whether the endpoint list has arrived.  It
 * arrives as a whole, so one endpoint in it means that all are there. */
#define LIST_CHECK_MS 50
/* Maximum number of engines that one node asks, a bound on the load if
 * hundreds of nodes start together with thousands of engines. */
#define ENGINES_MAX 32

struct query
{
  struct survey *survey;
  struct engine_call *call;
  uint32_t engine_hash; /* beryl_live_hash of the engine */
};

struct survey
{
  struct loop *loop;
  const struct gateway_wire *wire;
  struct counters *counters;
  struct beryl_forward *forward;
  struct beryl_live_set *endpoints;
  struct loop_timer *timer;
  GPtrArray *queries;
  size_t engine_count; /* engines asked, with or without a response */
  size_t prompt_count; /* prompts reported */
};

static void
query_free (gpointer pointer)
{
  struct query *query = pointer;

  engine_call_cancel (query->call);
  g_free (query);
}

static void
query_done (void *user, const struct engine_response *response)
{
  struct query *query = user;
  struct survey *survey = query->survey;
  GArray *keys = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  query->call = NULL;
  if (response->head != NULL)
    survey->wire->impl->read_prompts (survey->wire, response->head,
                                      response->body, response->body_bytes,
                                      keys);
  for (guint i = 0; i < keys->len; i++)
    beryl_forward_prompt_cached (
        survey->forward, g_array_index (keys, uint32_t, i), query->engine_hash,
        loop_now_ms (survey->loop));
  survey->prompt_count += keys->len;
  g_array_free (keys, TRUE);
  g_ptr_array_remove_fast (survey->queries, query);
  if (survey->queries->len == 0)
    g_info ("survey of prompts engines=%zu prompts=%zu", survey->engine_count,
            survey->prompt_count);
}

static void
query_engine (struct survey *survey,
              const struct beryl_live_endpoint *endpoint)
{
  struct query *query = g_new0 (struct query, 1);
  GString *head = g_string_new (NULL);

  query->survey = survey;
  query->engine_hash = beryl_live_hash (endpoint);
  survey->wire->impl->format_prompts_request (survey->wire, &endpoint->info,
                                              head);
  query->call = engine_call_start (survey->loop, &endpoint->info, head, NULL,
                                   ENGINE_CALL_PROMPTS, survey->counters,
                                   query_done, query);
  g_ptr_array_add (survey->queries, query);
  g_string_free (head, TRUE);
  survey->engine_count++;
}

static void
start_queries (void *user)
{
  struct survey *survey = user;
  size_t count = beryl_live_set_count (survey->endpoints);
  size_t first = count > 0 ? g_random_int () % count : 0;

  if (count == 0)
    return;
  loop_timer_stop (survey->timer);
  survey->timer = NULL;
  for (size_t i = 0; i < count && survey->engine_count < ENGINES_MAX; i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (survey->endpoints, (first + i) % count);

      if (endpoint->info.stage == BERYL_STAGE_DECODE
          && beryl_live_accepts_work (endpoint))
        query_engine (survey, endpoint);
    }
}

struct survey *
survey_create (struct loop *loop, const struct gateway_wire *wire,
               struct counters *counters, struct beryl_forward *forward,
               struct beryl_live_set *endpoints)
{
  struct survey *survey = g_new0 (struct survey, 1);

  survey->loop = loop;
  survey->wire = wire;
  survey->counters = counters;
  survey->forward = forward;
  survey->endpoints = endpoints;
  survey->queries = g_ptr_array_new_with_free_func (query_free);
  survey->timer = loop_timer_start (loop, LIST_CHECK_MS, LIST_CHECK_MS,
                                    start_queries, survey);
  return survey;
}

void
survey_destroy (struct survey *survey)
{
  if (survey == NULL)
    return;
  loop_timer_stop (survey->timer);
  g_ptr_array_free (survey->queries, TRUE);
  g_free (survey);
}
