/** @file
 * Guards that a mutation test can disable one at a time.
 *
 * BERYL_GUARD (ID, CONDITION) is CONDITION.  In a build with BERYL_MUTANTS it
 * is true while beryl_mutant is ID, as if the guard did not exist; the tests
 * that check recorded histories of requests must then find a violated
 * invariant (docs/mutants.md).
 */
#ifndef BERYL_BASE_GUARD_H
#define BERYL_BASE_GUARD_H

/** Guard ids; the numbers are the rows of docs/mutants.md. */
enum beryl_guard
{
  BERYL_GUARD_NONE,
  BERYL_GUARD_KEY_ORGANISATION, /**< an idempotency key, "key" below, is scoped
                                   to its organisation */
  BERYL_GUARD_KEY_INCARNATION,  /**< a key is run only by the incarnation it
                                   names */
  BERYL_GUARD_KEY_RUNNING, /**< a key with a running request is not run again
                            */
  BERYL_GUARD_KEY_ENDED, /**< a key with a finished request is not run again */
  BERYL_GUARD_KEY_BODY,  /**< a key is tied to one request body */
  BERYL_GUARD_RETRY_SAFE,    /**< only repeatable requests are retried */
  BERYL_GUARD_MAY_HAVE_RUN,  /**< earlier attempts count in the outcome */
  BERYL_GUARD_ATTEMPT,       /**< bytes of other attempts are dropped */
  BERYL_GUARD_OFFSET_DEDUPE, /**< duplicate bytes are dropped */
  BERYL_GUARD_OFFSET_ORDER,  /**< out-of-order bytes wait for the missing ones
                              */
  BERYL_GUARD_COMPLETE, /**< a stream ends only when all bytes have arrived */
  BERYL_GUARD_RESUME_ONLY, /**< after the first byte a stream may only be
                              resumed */
  BERYL_GUARD_HOLD_FIRST,  /**< a hold (engine memory taken by a stream) is
                              recorded before it is created */
  BERYL_GUARD_CANCEL_DISCONNECT, /**< holds are cancelled when the caller
                                  * disconnects
                                  */
  BERYL_GUARD_CANCEL_REPEAT,     /**< a cancel is repeated until confirmed */
  BERYL_GUARD_CANCEL_SETTLE, /**< a cancel that is confirmed while the request
                                may still be in flight is repeated */
  BERYL_GUARD_DRAIN_WAIT,    /**< shutdown waits for open requests */
  BERYL_GUARD_CLAIM_FIRST,  /**< no byte is sent before the claim is granted */
  BERYL_GUARD_CLAIM_CREATE, /**< a claim segment is created only if absent */
  BERYL_GUARD_CLAIM_NONCE,  /**< a lost reply is resolved by reading back the
                               nonce */
  BERYL_GUARD_CLAIM_REREAD, /**< the loser of a write race reads before it
                               writes */
  BERYL_GUARD_CLAIM_OUTAGE, /**< unavailable is reported only if surely not
                               written */
  BERYL_GUARD_CLAIM_DUPLICATE, /**< a batch contains a key only once */
  BERYL_GUARD_CLAIM_HOME,      /**< only the home node writes */
  BERYL_GUARD_CLAIM_REPLY, /**< a reply matches one request of one process */
  BERYL_GUARD_CLAIM_VERIFIED, /**< no grant from a stale view of the log */
  BERYL_GUARD_KEY_OWNED, /**< a free key (one not bound to an incarnation) is
                            owned by this node only if the node holds its claim
                          */
  BERYL_GUARD_FORWARDED_KEY, /**< a forwarded key is never run as a new one */
  BERYL_GUARD_CHECKPOINT_WHOLE, /**< claim segments are deleted only after the
                                   checkpoint that contains them has been
                                   written */
  BERYL_GUARD_CATCH_UP, /**< a process that was suspended reads the current
                           configuration before it plans */
  BERYL_GUARD_DEATH_CONTACT,  /**< a node that is heard from is not dead */
  BERYL_GUARD_CLEANUP_SETTLE, /**< as CANCEL_SETTLE, for streams of dead nodes
                               */
  BERYL_GUARD_COUNT,
};

#ifdef BERYL_MUTANTS
/** Id of the disabled guard; test builds only. */
extern int beryl_mutant;
#define BERYL_GUARD(id, condition) (beryl_mutant == (id) || (condition))
#else
#define BERYL_GUARD(id, condition) (condition)
#endif

#endif
