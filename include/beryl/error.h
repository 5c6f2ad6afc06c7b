/** @file
 * The error that a caller passes down and a failing function fills in.
 */
#ifndef BERYL_ERROR_H
#define BERYL_ERROR_H

#include <stdbool.h>

/** Stable classes of errors. */
enum beryl_error_code
{
  BERYL_OK = 0,
  BERYL_ERROR_INVALID,     /**< input breaks the stated rules */
  BERYL_ERROR_NOT_FOUND,   /**< the named thing does not exist */
  BERYL_ERROR_CONFLICT,    /**< a condition on the version did not hold */
  BERYL_ERROR_LIMIT,       /**< a size, rate or depth limit was reached */
  BERYL_ERROR_UNAVAILABLE, /**< the other side is away; nothing happened */
  BERYL_ERROR_UNKNOWN,     /**< the other side may have acted */
  BERYL_ERROR_DENIED,      /**< credentials are missing or wrong */
  BERYL_ERROR_INTERNAL,    /**< a bug or an exhausted resource */
};

/** An error; zero-initialise before passing it down. */
struct beryl_error
{
  enum beryl_error_code code;
  char message[240];
};

/** Fill ERROR (may be NULL) with CODE and a printf-style message.
 * Returns false, so that callers can return it directly. */
bool beryl_error_set (struct beryl_error *error, enum beryl_error_code code,
                      const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Return the stable name of CODE, for example "invalid". */
const char *beryl_error_code_name (enum beryl_error_code code);

#endif
