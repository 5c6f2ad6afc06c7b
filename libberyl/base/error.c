#include "beryl/error.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

bool
beryl_error_set (struct beryl_error *error, enum beryl_error_code code,
                 const char *format, ...)
{
  va_list ap;

  if (error == NULL)
    return false;
  error->code = code;
  va_start (ap, format);
  vsnprintf (error->message, sizeof error->message, format, ap);
  va_end (ap);
  return false;
}

const char *
beryl_error_code_name (enum beryl_error_code code)
{
  static const char *const names[] = {
    [BERYL_OK] = "ok",
    [BERYL_ERROR_INVALID] = "invalid",
    [BERYL_ERROR_NOT_FOUND] = "not_found",
    [BERYL_ERROR_CONFLICT] = "conflict",
    [BERYL_ERROR_LIMIT] = "limit",
    [BERYL_ERROR_UNAVAILABLE] = "unavailable",
    [BERYL_ERROR_UNKNOWN] = "unknown",
    [BERYL_ERROR_DENIED] = "denied",
    [BERYL_ERROR_INTERNAL] = "internal",
  };

  if ((size_t)code >= sizeof names / sizeof names[0])
    return "internal";
  return names[code];
}
