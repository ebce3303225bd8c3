/* suite.h - runs a test case of the Check framework as a program.
 *
 * API tier: private.
 */
#ifndef SUITE_H
#define SUITE_H

#include <check.h>
#include <stdlib.h>

/* Returns a test case without a time limit, in a new suite; both are called NAME. */
static inline TCase *
suite_new_case (Suite **suite, const char *name)
{
  TCase *tcase = tcase_create (name);

  *suite = suite_create (name);
  tcase_set_timeout (tcase, 0);
  suite_add_tcase (*suite, tcase);
  return tcase;
}

/* Runs SUITE and frees it.  Returns the exit status of the program. */
static inline int
suite_run (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  int failed;

  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
