/* Division of too little room by urgency and among organisations. */
#include <check.h>
#include <stdlib.h>

#include "../../libberyl/base/random.h"
#include "../../libberyl/decide/shares.h"
#include "../suite.h"

#define ERROR 1e-9

static struct share_claim
claim (uint32_t organisation, uint32_t rank, double weight, double asked)
{
  return (struct share_claim){ .organisation = organisation,
                               .rank = rank,
                               .weight = weight,
                               .asked = asked };
}

static double
granted (const struct share_claim *claims, size_t count, uint32_t organisation)
{
  for (size_t i = 0; i < count; i++)
    if (claims[i].organisation == organisation)
      return claims[i].granted;
  ck_abort_msg ("no claim of %u", organisation);
  return 0;
}

/* Load: less is asked for than there is. */
START_TEST (enough_room)
{
  struct share_claim c[] = { claim (1, 0, 1, 10), claim (2, 1, 1, 20) };

  shares_divide (c, 2, 31);
  ck_assert_double_eq_tol (granted (c, 2, 1), 10, ERROR);
  ck_assert_double_eq_tol (granted (c, 2, 2), 20, ERROR);
  shares_divide (c, 0, 31);
}
END_TEST

/* Load: one organisation asks for far more than the others. */
START_TEST (one_asks_for_more)
{
  struct share_claim c[]
      = { claim (1, 0, 1, 1000), claim (2, 0, 1, 10), claim (3, 0, 1, 30) };

  shares_divide (c, 3, 100);
  ck_assert_double_eq_tol (granted (c, 3, 1), 60, ERROR);
  ck_assert_double_eq_tol (granted (c, 3, 2), 10, ERROR);
  ck_assert_double_eq_tol (granted (c, 3, 3), 30, ERROR);
}
END_TEST

/* Load: all organisations ask for more than their shares. */
START_TEST (all_ask_for_more)
{
  struct share_claim c[]
      = { claim (1, 0, 3, 1000), claim (2, 0, 1, 500), claim (3, 0, 1, 90) };

  shares_divide (c, 3, 100);
  ck_assert_double_eq_tol (granted (c, 3, 1), 60, ERROR);
  ck_assert_double_eq_tol (granted (c, 3, 2), 20, ERROR);
  ck_assert_double_eq_tol (granted (c, 3, 3), 20, ERROR);
}
END_TEST

/* Load: urgent requests alone ask for more than there is. */
START_TEST (urgent_ones_fill_the_room)
{
  struct share_claim c[]
      = { claim (1, 2, 1, 50), claim (2, 0, 1, 1000), claim (3, 1, 1, 4) };

  shares_divide (c, 3, 100);
  ck_assert_double_eq_tol (granted (c, 3, 1), 100 * SHARES_FLOOR_PART, ERROR);
  ck_assert_double_eq_tol (granted (c, 3, 3), 4, ERROR);
  ck_assert_double_eq_tol (granted (c, 3, 2),
                           100 - 4 - 100 * SHARES_FLOOR_PART, ERROR);
}
END_TEST

/* Load: more ranks ask than there are floors. */
START_TEST (many_ranks)
{
  struct share_claim c[21];

  for (uint32_t i = 0; i < 21; i++)
    c[i] = claim (i, i, 1, 1000);
  shares_divide (c, 21, 100);
  ck_assert_double_eq_tol (granted (c, 21, 0), 100 * (1 - SHARES_FLOORS_MAX),
                           ERROR);
  ck_assert_double_eq_tol (granted (c, 21, 20), 100 * SHARES_FLOORS_MAX / 20,
                           ERROR);
}
END_TEST

/* Load: there is no room at all. */
START_TEST (no_room)
{
  struct share_claim c[] = { claim (1, 0, 1, 10), claim (2, 1, 1, 0) };

  shares_divide (c, 2, 0);
  ck_assert_double_eq_tol (granted (c, 2, 1), 0, ERROR);
  ck_assert_double_eq_tol (granted (c, 2, 2), 0, ERROR);
}
END_TEST

static void
check_division (const struct share_claim *c, size_t count, double room)
{
  double asked = 0, sum = 0;

  for (size_t i = 0; i < count; i++)
    {
      asked += c[i].asked;
      sum += c[i].granted;
      ck_assert (c[i].granted >= 0 && c[i].granted <= c[i].asked + ERROR);
      for (size_t k = 0; k < count; k++)
        if (c[k].rank == c[i].rank && c[i].granted < c[i].asked - ERROR)
          ck_assert (c[k].granted / c[k].weight
                     <= c[i].granted / c[i].weight + ERROR);
    }
  ck_assert_double_eq_tol (sum, asked < room ? asked : room, ERROR * 1000);
}

/* Load: any.  All of the room is used, and nobody who lacks some has less than
 * another one of the rank. */
START_TEST (any_load)
{
  struct share_claim c[40];
  uint64_t state = 1;

  for (int i = 0; i < 2000; i++)
    {
      size_t count = 1 + random_next (&state) % 40;
      double room = 2000 * random_unit (&state);

      for (size_t k = 0; k < count; k++)
        {
          double wanted = 100 * random_unit (&state);
          double weight = 0.1 + random_unit (&state);

          c[k] = claim ((uint32_t)k, random_next (&state) % 4, weight, wanted);
        }
      shares_divide (c, count, room);
      check_division (c, count, room);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("shares");
  TCase *tcase = tcase_create ("shares");

  tcase_add_test (tcase, enough_room);
  tcase_add_test (tcase, one_asks_for_more);
  tcase_add_test (tcase, all_ask_for_more);
  tcase_add_test (tcase, urgent_ones_fill_the_room);
  tcase_add_test (tcase, many_ranks);
  tcase_add_test (tcase, no_room);
  tcase_add_test (tcase, any_load);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
