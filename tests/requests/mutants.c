#include "mutants.h"

#include "cluster.h"

int beryl_mutant;

const struct mutant mutants[BERYL_GUARD_COUNT] = {
  [BERYL_GUARD_KEY_ORGANISATION]
  = { "KEY_ORGANISATION", "a key belongs to its organisation", 2 },
  [BERYL_GUARD_KEY_INCARNATION]
  = { "KEY_INCARNATION", "only the named incarnation runs a bound key", 1 },
  [BERYL_GUARD_KEY_RUNNING]
  = { "KEY_RUNNING", "a running key is not run again", 234 },
  [BERYL_GUARD_KEY_ENDED]
  = { "KEY_ENDED", "an ended key is not run again", 1 },
  [BERYL_GUARD_KEY_BODY] = { "KEY_BODY", "a key belongs to one body", 29 },
  [BERYL_GUARD_RETRY_SAFE]
  = { "RETRY_SAFE", "only what may be repeated is retried", 2 },
  [BERYL_GUARD_MAY_HAVE_RUN]
  = { "MAY_HAVE_RUN", "an earlier attempt counts in the outcome", 2 },
  [BERYL_GUARD_ATTEMPT]
  = { "ATTEMPT", "bytes of another attempt are dropped", 4 },
  [BERYL_GUARD_OFFSET_DEDUPE]
  = { "OFFSET_DEDUPE", "bytes are delivered once", 3 },
  [BERYL_GUARD_OFFSET_ORDER]
  = { "OFFSET_ORDER", "early bytes wait for the gap", 1 },
  [BERYL_GUARD_COMPLETE]
  = { "WHOLE", "an end without all bytes is no end", 4 },
  [BERYL_GUARD_RESUME_ONLY]
  = { "MIX", "after the first byte there is only a resume", 48 },
  [BERYL_GUARD_HOLD_FIRST]
  = { "HOLD_FIRST", "a hold is recorded before it is made", 1 },
  [BERYL_GUARD_CANCEL_DISCONNECT]
  = { "CANCEL_GONE", "a gone caller's holds are cancelled", 10 },
  [BERYL_GUARD_CANCEL_REPEAT]
  = { "CANCEL_REPEAT", "a cancel is repeated until confirmed", 15 },
  [BERYL_GUARD_CANCEL_SETTLE]
  = { "CANCEL_SETTLE", "an early confirmation is not final", 63 },
  [BERYL_GUARD_DRAIN_WAIT]
  = { "DRAIN_WAIT", "a planned stop waits for open requests", 1 },
  [BERYL_GUARD_CLAIM_FIRST]
  = { "CLAIM_FIRST", "no byte goes out before the claim", 1 },
  [BERYL_GUARD_CLAIM_CREATE]
  = { "CLAIM_CREATE", "a segment is created only if absent", 52 },
  [BERYL_GUARD_CLAIM_NONCE]
  = { "CLAIM_NONCE", "a lost reply is settled by reading back", 52 },
  [BERYL_GUARD_CLAIM_REREAD]
  = { "CLAIM_REREAD", "who lost a race reads before it writes", 41 },
  [BERYL_GUARD_CLAIM_OUTAGE]
  = { "CLAIM_OUTAGE", "\"not run\" only if the key is surely new", 2 },
  [BERYL_GUARD_CLAIM_DUPLICATE]
  = { "CLAIM_DUPLICATE", "one segment holds a key once", 2074 },
  [BERYL_GUARD_CLAIM_HOME]
  = { "CLAIM_HOME", "only the shard's home writes", 12783 },
  [BERYL_GUARD_CLAIM_REPLY]
  = { "CLAIM_REPLY", "a reply belongs to one ask of one process", 325136 },
  [BERYL_GUARD_CLAIM_VERIFIED]
  = { "CLAIM_VERIFIED", "no grant from an old view of the log", 336 },
  [BERYL_GUARD_KEY_OWNED]
  = { "KEY_OWNED", "an ungranted free key is not this node's", 3 },
  [BERYL_GUARD_FORWARDED_KEY]
  = { "FORWARDED_KEY", "a forwarded free key is never run anew", 0,
      "free_key_forwarded_here.txt" },
  [BERYL_GUARD_CHECKPOINT_WHOLE]
  = { "CHECKPOINT_WHOLE", "segments go only after they are folded", 89 },
  [BERYL_GUARD_CATCH_UP]
  = { "WAKE_REST", "a woken process reads before it plans", 717 },
  [BERYL_GUARD_DEATH_CONTACT]
  = { "DEATH_HEARD", "a node that others hear is not dead", 2 },
  [BERYL_GUARD_CLEANUP_SETTLE]
  = { "CLEANUP_SETTLE", "as CANCEL_SETTLE, for a dead process", 3243 },
};

bool
mutant_run (enum beryl_guard guard, uint64_t seed,
            struct history_result *result)
{
  struct history *history;
  bool valid;

  beryl_mutant = (int)guard;
  history = cluster_run (seed);
  beryl_mutant = BERYL_GUARD_NONE;
  valid = history_check (history, result);
  history_destroy (history);
  return valid;
}
