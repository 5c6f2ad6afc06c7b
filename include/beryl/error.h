/** @file
 * Error object that a caller passes in and a failing function fills.
 */
#ifndef BERYL_ERROR_H
#define BERYL_ERROR_H

#include <stdbool.h>

/** Error classes; their names are stable. */
enum beryl_error_code
{
  BERYL_OK = 0,
  BERYL_ERROR_INVALID,     /**< input violates the documented rules */
  BERYL_ERROR_NOT_FOUND,   /**< the named object does not exist */
  BERYL_ERROR_CONFLICT,    /**< a version precondition failed */
  BERYL_ERROR_LIMIT,       /**< a size, rate or depth limit was reached */
  BERYL_ERROR_UNAVAILABLE, /**< the peer is unavailable; nothing was executed
                            */
  BERYL_ERROR_UNKNOWN,     /**< the request may have been executed */
  BERYL_ERROR_DENIED,      /**< credentials are missing or wrong */
  BERYL_ERROR_INTERNAL,    /**< a bug or an exhausted resource */
};

/** Error; zero-initialise before passing it to a function. */
struct beryl_error
{
  enum beryl_error_code code;
  char message[240];
};

/** Fill ERROR (may be NULL) with CODE and a printf-style message. Always
 * returns false, so that callers can return the result. */
bool beryl_error_set (struct beryl_error *error, enum beryl_error_code code,
                      const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Return the stable name of CODE, for example "invalid". */
const char *beryl_error_code_name (enum beryl_error_code code);

#endif
