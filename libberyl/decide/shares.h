/** @file
 * Load: callers of several organisations and urgencies ask for more than there
 * is.  Divides it by urgency first and then max-min fairly among
 * organisations.
 */
#ifndef DECIDE_SHARES_H
#define DECIDE_SHARES_H

#include <stddef.h>
#include <stdint.h>

/** What one organisation asks for at one rank, in any unit. */
struct share_claim
{
  uint32_t organisation;
  uint32_t rank; /**< 0 is the most urgent */
  double weight; /**< of the organisation; more than 0 */
  double asked;
  double granted; /**< set by shares_divide; at most ASKED */
};

/** Part of the room that each less urgent rank keeps, whatever the more urgent
 * ones ask for. */
#define SHARES_FLOOR_PART 0.1
/** Part that they keep at most all together. */
#define SHARES_FLOORS_MAX 0.5

/** Divide ROOM among COUNT claims, which are reordered.  More urgent ranks
 * come first, but each rank keeps its floor.  Within a rank no organisation
 * gets less than another one, by weight, unless it asks for less; what nobody
 * uses goes to whoever asks. */
void shares_divide (struct share_claim *claims, size_t count, double room);

#endif
