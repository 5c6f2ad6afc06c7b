#include "survey.h"

#include <glib.h>

#include "engine_call.h"

/* How often it is looked whether the list of engines is there; it comes whole
 * within some tens of milliseconds of a start. */
#define LOOK_MS 50
/* Engines that one node asks: enough for all of a small fleet's, and a bound
 * where hundreds of nodes and thousands of engines start together. */
#define ENGINES_MAX 32
#define ANSWER_MAX_BYTES (256U << 10)

struct question
{
  struct survey *survey;
  struct engine_call *call;
  uint32_t engine;
};

struct survey
{
  struct loop *loop;
  const struct gateway_wire *wire;
  struct beryl_forward *forward;
  struct beryl_lives *lives;
  struct loop_timer *timer;
  GPtrArray *questions;
  size_t asked;
  size_t prompts;
};

static void
question_free (gpointer pointer)
{
  struct question *question = pointer;

  engine_call_cancel (question->call);
  g_free (question);
}

static void
answered (void *user, const struct engine_response *answer)
{
  struct question *question = user;
  struct survey *survey = question->survey;
  GArray *keys = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  question->call = NULL;
  if (answer->head != NULL)
    survey->wire->impl->read_prompts (survey->wire, answer->head, answer->body,
                                      answer->body_bytes, keys);
  for (guint i = 0; i < keys->len; i++)
    beryl_forward_prompt_kept (survey->forward,
                               g_array_index (keys, uint32_t, i),
                               question->engine, loop_now_ms (survey->loop));
  survey->prompts += keys->len;
  g_array_free (keys, TRUE);
  g_ptr_array_remove_fast (survey->questions, question);
  if (survey->questions->len == 0)
    g_info ("survey of prompts engines=%zu prompts=%zu", survey->asked,
            survey->prompts);
}

static void
ask (struct survey *survey, const struct beryl_live *live)
{
  struct question *question = g_new0 (struct question, 1);
  GString *head = g_string_new (NULL);

  question->survey = survey;
  question->engine = beryl_live_number (live);
  survey->wire->impl->format_prompts_request (survey->wire, &live->info, head);
  question->call = engine_call_start (survey->loop, &live->info, head, NULL,
                                      ANSWER_MAX_BYTES, answered, question);
  g_ptr_array_add (survey->questions, question);
  g_string_free (head, TRUE);
  survey->asked++;
}

static void
begin (void *user)
{
  struct survey *survey = user;
  size_t count = beryl_lives_count (survey->lives);
  size_t first = count > 0 ? g_random_int () % count : 0;

  if (count == 0)
    return;
  loop_timer_stop (survey->timer);
  survey->timer = NULL;
  for (size_t i = 0; i < count && survey->asked < ENGINES_MAX; i++)
    {
      const struct beryl_live *live
          = beryl_lives_get (survey->lives, (first + i) % count);

      if (live->info.stage == BERYL_STAGE_DECODE
          && beryl_live_takes_work (live))
        ask (survey, live);
    }
}

struct survey *
survey_create (struct loop *loop, const struct gateway_wire *wire,
               struct beryl_forward *forward, struct beryl_lives *lives)
{
  struct survey *survey = g_new0 (struct survey, 1);

  survey->loop = loop;
  survey->wire = wire;
  survey->forward = forward;
  survey->lives = lives;
  survey->questions = g_ptr_array_new_with_free_func (question_free);
  survey->timer = loop_timer_start (loop, LOOK_MS, LOOK_MS, begin, survey);
  return survey;
}

void
survey_destroy (struct survey *survey)
{
  if (survey == NULL)
    return;
  loop_timer_stop (survey->timer);
  g_ptr_array_free (survey->questions, TRUE);
  g_free (survey);
}
