/** @file
 * Guards that a test build can take out one at a time.
 *
 * BERYL_GUARD (ID, CONDITION) is CONDITION.  In a build with BERYL_MUTANTS it
 * is true while beryl_mutant is ID, as if the guard had never been written;
 * the history checker must then find a broken invariant (docs/mutants.md).
 */
#ifndef BERYL_BASE_GUARD_H
#define BERYL_BASE_GUARD_H

/** Guards; the numbers are the rows of docs/mutants.md. */
enum beryl_guard
{
  BERYL_GUARD_NONE,
  BERYL_GUARD_KEY_ORGANISATION, /**< a key belongs to its organisation */
  BERYL_GUARD_KEY_INCARNATION,  /**< only the named incarnation runs a key */
  BERYL_GUARD_KEY_RUNNING,      /**< a running key is not run again */
  BERYL_GUARD_KEY_ENDED,        /**< an ended key is not run again */
  BERYL_GUARD_KEY_BODY,         /**< a key belongs to one body */
  BERYL_GUARD_RETRY_SAFE,       /**< retry only what may be repeated */
  BERYL_GUARD_MAY_HAVE_RUN,     /**< an earlier try counts in the outcome */
  BERYL_GUARD_ATTEMPT,          /**< bytes of another attempt are dropped */
  BERYL_GUARD_OFFSET_DEDUPE,    /**< bytes are delivered once */
  BERYL_GUARD_OFFSET_ORDER,     /**< early bytes wait for the gap */
  BERYL_GUARD_WHOLE,            /**< an end without all bytes is no end */
  BERYL_GUARD_MIX,              /**< after the first byte only a resume */
  BERYL_GUARD_HOLD_FIRST,       /**< a hold is recorded before it is made */
  BERYL_GUARD_CANCEL_GONE,      /**< a gone caller's holds are cancelled */
  BERYL_GUARD_CANCEL_REPEAT,    /**< a cancel is repeated until confirmed */
  BERYL_GUARD_CANCEL_SETTLE,    /**< an early confirmation is not final */
  BERYL_GUARD_DRAIN_WAIT,       /**< a stop waits for open requests */
  BERYL_GUARD_CLAIM_FIRST,      /**< no byte goes out before the claim */
  BERYL_GUARD_CLAIM_CREATE,     /**< a segment is created only if absent */
  BERYL_GUARD_CLAIM_NONCE,      /**< a lost reply is settled by read-back */
  BERYL_GUARD_CLAIM_REREAD,     /**< a lost race reads before it writes */
  BERYL_GUARD_CLAIM_OUTAGE,     /**< unavailable only if surely not written */
  BERYL_GUARD_CLAIM_DUPLICATE,  /**< one batch holds a key once */
  BERYL_GUARD_CLAIM_HOME,       /**< only the home writes */
  BERYL_GUARD_CLAIM_REPLY,    /**< a reply belongs to one ask of one process */
  BERYL_GUARD_CLAIM_VERIFIED, /**< no grant from an old view of the log */
  BERYL_GUARD_KEY_OWNED,      /**< an ungranted free key is not this node's */
  BERYL_GUARD_FORWARDED_KEY,  /**< a forwarded key is never run anew */
  BERYL_GUARD_CHECKPOINT_WHOLE, /**< segments go only after a checkpoint */
  BERYL_GUARD_WAKE_REST,        /**< a woken process reads before it plans */
  BERYL_GUARD_DEATH_HEARD,      /**< who is heard is not dead */
  BERYL_GUARD_CLEANUP_SETTLE,   /**< as CANCEL_SETTLE, for the dead */
  BERYL_GUARD_COUNT,
};

#ifdef BERYL_MUTANTS
/** The guard taken out; only test builds have it. */
extern int beryl_mutant;
#define BERYL_GUARD(id, condition) (beryl_mutant == (id) || (condition))
#else
#define BERYL_GUARD(id, condition) (condition)
#endif

#endif
