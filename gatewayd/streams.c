#include "streams.h"

/* Peers that keep a record. Two datagrams may be lost and most nodes of a
 * small fleet may be killed together, and one of them still has it. */
#define KEEPERS 5
/* Peers that are asked: more than keep it, since nodes may have come or gone
 * since. */
#define ASKED_PEERS 8

struct streams
{
  struct loop *loop;
  struct beryl_forward *forward;
  struct members *members;
  struct counters *counters;
};

static void
count_sent (struct streams *s, const char *label, uint64_t datagrams)
{
  counters_add (s->counters, "beryl_gateway_stream_messages_total", label,
                datagrams);
}

struct streams *
streams_create (struct loop *loop, struct beryl_forward *forward,
                struct members *members, struct counters *counters)
{
  struct streams *s = g_new0 (struct streams, 1);

  s->loop = loop;
  s->forward = forward;
  s->members = members;
  s->counters = counters;
  return s;
}

void
streams_destroy (struct streams *s)
{
  g_free (s);
}

void
streams_tell (struct streams *s, const struct beryl_stream_record *record)
{
  struct streams_message message = { .record_count = 1 };

  message.records[0] = *record;
  count_sent (
      s, "kind=\"record\"",
      members_send_streams (s->members, &message, record->stream, KEEPERS));
}

uint32_t
streams_ask (struct streams *s, const struct beryl_stream_question *question)
{
  struct streams_message message = { .question_count = 1 };
  uint32_t asked;

  message.questions[0] = *question;
  asked = members_send_streams (s->members, &message, question->stream,
                                ASKED_PEERS);
  count_sent (s, "kind=\"question\"", asked);
  return asked;
}

void
streams_receive (struct streams *s, const struct streams_message *message,
                 const char *address, uint16_t port)
{
  struct streams_message reply = { 0 };
  int64_t now_ms = loop_now_ms (s->loop);

  for (size_t i = 0; i < message->record_count; i++)
    beryl_forward_learn_stream (s->forward, &message->records[i], now_ms);
  for (size_t i = 0; i < message->question_count; i++)
    beryl_forward_describe_stream (s->forward, &message->questions[i],
                                   &reply.answers[reply.answer_count++],
                                   now_ms);
  if (reply.answer_count > 0)
    {
      members_reply_streams (s->members, &reply, address, port);
      count_sent (s, "kind=\"answer\"", 1);
    }
  for (size_t i = 0; i < message->answer_count; i++)
    beryl_forward_stream_answered (s->forward, &message->answers[i], now_ms);
}
