#include "private.h"

/* Borrows repeats from other nodes. In a large fleet a node's share is one or
   two repeats per window. A failing engine makes the requests of a few nodes
   fail within a second, while the shares of all other nodes are not needed. */

/* A loan is requested in advance once fewer repeats than this are left: a
   stream that continues at another engine takes two. */
#define LOW_WATERMARK 2
/* Maximum number of repeats in a loan. */
#define LOAN_MAX 4
/* A request for a loan that is not answered is sent to another node after this
   time. Request and answer each wait up to 30 ms for the next report and then
   cross the network. */
#define LOAN_REQUEST_TIMEOUT_MS 150

void
loans_report_if_low (struct beryl_forward *f, struct service *s,
                     int64_t now_ms)
{
  struct repeat_limits limits = repeats_limits (f, now_ms);

  if (repeat_budget_left (&s->budget, &limits, now_ms) < LOW_WATERMARK
      && now_ms - s->loan_requested_ms >= LOAN_REQUEST_TIMEOUT_MS)
    f->report_due = true;
}

/* Returns a random live peer; NULL if there is none. */
static const struct peer_runs *
random_peer (struct beryl_forward *f, int64_t now_ms)
{
  const struct peer_runs *chosen = NULL;
  uint64_t seen = 0;

  for (size_t i = 0; i < f->run_table.count; i++)
    {
      const struct peer_runs *peer = f->run_table.peers[i];

      if (now_ms - peer->reported_ms
              < run_table_peer_timeout_ms (&f->run_table)
          && random_next (&f->random) % ++seen == 0)
        chosen = peer;
    }
  return chosen;
}

static void
add_transfer (struct beryl_budget_transfers *transfers,
              struct beryl_budget_transfer transfer)
{
  if (transfers->count < BERYL_BUDGET_TRANSFERS_MAX)
    transfers->items[transfers->count++] = transfer;
}

static void
request_loan (struct beryl_forward *f, struct service *s,
              struct beryl_budget_transfers *asks, int64_t now_ms)
{
  struct repeat_limits limits = repeats_limits (f, now_ms);
  const struct peer_runs *peer;

  if (repeat_budget_left (&s->budget, &limits, now_ms) >= LOW_WATERMARK
      || now_ms - s->loan_requested_ms < LOAN_REQUEST_TIMEOUT_MS)
    return;
  peer = random_peer (f, now_ms);
  if (peer == NULL)
    return;
  s->loan_requested_ms = now_ms;
  s->loan_serial = ++f->last_loan_serial;
  add_transfer (asks, (struct beryl_budget_transfer){
                          .node = beryl_name_hash (peer->name),
                          .service = beryl_name_hash (s->name),
                          .count = LOAN_MAX,
                          .serial = s->loan_serial });
}

void
beryl_forward_repeat_transfers (struct beryl_forward *f,
                                struct beryl_budget_transfers *asks,
                                struct beryl_budget_transfers *loans,
                                int64_t now_ms)
{
  asks->count = 0;
  for (size_t i = 0; i < f->service_count; i++)
    request_loan (f, f->services[i], asks, now_ms);
  *loans = f->pending_loans;
  f->pending_loans.count = 0;
}

static void
lend (struct beryl_forward *f, const char *peer,
      const struct beryl_budget_transfer *request, int64_t now_ms)
{
  struct repeat_limits limits = repeats_limits (f, now_ms);
  struct service *s = forward_service_by_hash (f, request->service);
  uint32_t max_count = request->count < LOAN_MAX ? request->count : LOAN_MAX;
  uint32_t count;

  if (s == NULL || f->pending_loans.count == BERYL_BUDGET_TRANSFERS_MAX)
    return;
  count = repeat_budget_lend (&s->budget, &limits, max_count, now_ms);
  if (count == 0)
    return;
  add_transfer (&f->pending_loans,
                (struct beryl_budget_transfer){ .node = beryl_name_hash (peer),
                                                .service = request->service,
                                                .count = count,
                                                .serial = request->serial });
  f->report_due = true;
}

/* Only the answer to the last request for a loan counts, and only once. */
static void
borrow (struct beryl_forward *f, const struct beryl_budget_transfer *lent,
        int64_t now_ms)
{
  struct service *s = forward_service_by_hash (f, lent->service);

  if (s == NULL || lent->serial == 0 || lent->serial != s->loan_serial)
    return;
  s->loan_serial = 0;
  repeat_budget_borrow (&s->budget, lent->count, s->loan_requested_ms, now_ms);
}

void
beryl_forward_peer_transfers (struct beryl_forward *f, const char *peer,
                              const struct beryl_budget_transfers *asks,
                              const struct beryl_budget_transfers *loans,
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
