/** @file
 * Keeps what this process may hold at the engines and tells beryl-controld,
 * which cancels it if this process dies.
 */
#ifndef ENTRYD_HOLD_KEEPER_H
#define ENTRYD_HOLD_KEEPER_H

#include "beryl/ids.h"

struct entry;
struct hold_keeper;

/** Create; ENTRY must outlive it. */
struct hold_keeper *hold_keeper_create (struct entry *entry);

/** Release; NULL is allowed. */
void hold_keeper_destroy (struct hold_keeper *keeper);

/** Note a hold before it is made, and its confirmed end. */
void hold_keeper_record (struct hold_keeper *keeper, const char *endpoint,
                         struct beryl_stream_id stream);
void hold_keeper_erase (struct hold_keeper *keeper, const char *endpoint,
                        struct beryl_stream_id stream);

#endif
