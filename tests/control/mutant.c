#include "mutant.h"

#include <stdlib.h>

#ifdef BERYL_MUTANTS
int beryl_mutant;

void
mutant_choose (void)
{
  const char *text = getenv ("BERYL_MUTANT");

  beryl_mutant = text != NULL ? atoi (text) : 0;
}
#else
void
mutant_choose (void)
{
}
#endif
