#include "private.h"

/* Borrowing repeats from other nodes.  In a large fleet a node's part of the
 * repeats is one or two in a window.  A sick engine makes the requests of a
 * few nodes fail within a second, while the parts of all others are not
 * needed. */

/* With fewer left others are asked, before the next request needs them: a
 * stream that goes on elsewhere takes two. */
#define LOW 2
/* What one question asks for at most. */
#define LOAN_MOST 4
/* A question without an answer is put to another node after so long; answers
 * take twice the 30 ms after which news are told, and the way. */
#define ASK_AGAIN_AFTER_MS 150

void
loans_check (struct beryl_forward *f, struct service *s, int64_t now_ms)
{
  struct repeat_terms terms = forward_repeat_terms (f);

  if (repeat_budget_left (&s->budget, &terms, now_ms) < LOW
      && now_ms - s->asked_ms >= ASK_AGAIN_AFTER_MS)
    f->runs_changed = true;
}

/* Returns a live peer, drawn at random; NULL if there is none. */
static const struct book_peer *
draw_peer (struct beryl_forward *f, int64_t now_ms)
{
  const struct book_peer *drawn = NULL;
  uint64_t seen = 0;

  for (size_t i = 0; i < f->book.count; i++)
    {
      const struct book_peer *peer = f->book.peers[i];

      if (now_ms - peer->told_ms < book_silent_ms (&f->book)
          && random_next (&f->random) % ++seen == 0)
        drawn = peer;
    }
  return drawn;
}

static void
add (struct beryl_repeat_transfers *transfers,
     struct beryl_repeat_transfer transfer)
{
  if (transfers->count < BERYL_REPEAT_TRANSFERS_MAX)
    transfers->items[transfers->count++] = transfer;
}

static void
ask (struct beryl_forward *f, struct service *s,
     struct beryl_repeat_transfers *asks, int64_t now_ms)
{
  struct repeat_terms terms = forward_repeat_terms (f);
  const struct book_peer *peer;

  if (repeat_budget_left (&s->budget, &terms, now_ms) >= LOW
      || now_ms - s->asked_ms < ASK_AGAIN_AFTER_MS)
    return;
  peer = draw_peer (f, now_ms);
  if (peer == NULL)
    return;
  s->asked_ms = now_ms;
  s->asked_serial = ++f->last_serial;
  add (asks,
       (struct beryl_repeat_transfer){ .node = beryl_name_hash (peer->name),
                                       .service = beryl_name_hash (s->name),
                                       .count = LOAN_MOST,
                                       .serial = s->asked_serial });
}

void
beryl_forward_repeat_transfers (struct beryl_forward *f,
                                struct beryl_repeat_transfers *asks,
                                struct beryl_repeat_transfers *loans,
                                int64_t now_ms)
{
  asks->count = 0;
  for (size_t i = 0; i < f->service_count; i++)
    ask (f, f->services[i], asks, now_ms);
  *loans = f->loans;
  f->loans.count = 0;
}

static void
lend (struct beryl_forward *f, const char *peer,
      const struct beryl_repeat_transfer *asked, int64_t now_ms)
{
  struct repeat_terms terms = forward_repeat_terms (f);
  struct service *s = forward_service_numbered (f, asked->service);
  uint32_t most = asked->count < LOAN_MOST ? asked->count : LOAN_MOST;
  uint32_t count;

  if (s == NULL || f->loans.count == BERYL_REPEAT_TRANSFERS_MAX)
    return;
  count = repeat_budget_lend (&s->budget, &terms, most, now_ms);
  if (count == 0)
    return;
  add (&f->loans,
       (struct beryl_repeat_transfer){ .node = beryl_name_hash (peer),
                                       .service = asked->service,
                                       .count = count,
                                       .serial = asked->serial });
  f->runs_changed = true;
}

/* Only the answer to the last question counts, and only once. */
static void
borrow (struct beryl_forward *f, const struct beryl_repeat_transfer *lent,
        int64_t now_ms)
{
  struct service *s = forward_service_numbered (f, lent->service);

  if (s == NULL || lent->serial == 0 || lent->serial != s->asked_serial)
    return;
  s->asked_serial = 0;
  repeat_budget_borrow (&s->budget, lent->count, s->asked_ms, now_ms);
}

void
beryl_forward_peer_transfers (struct beryl_forward *f, const char *peer,
                              const struct beryl_repeat_transfers *asks,
                              const struct beryl_repeat_transfers *loans,
                              int64_t now_ms)
{
  uint32_t own = beryl_name_hash (f->settings.node);

  for (size_t i = 0; i < asks->count; i++)
    if (asks->items[i].node == own)
      lend (f, peer, &asks->items[i], now_ms);
  for (size_t i = 0; i < loans->count; i++)
    if (loans->items[i].node == own)
      borrow (f, &loans->items[i], now_ms);
}
