/* suite.h - runs one test case of `check` as a program.
 *
 * API tier: private.
 */
#ifndef SUITE_H
#define SUITE_H

#include <check.h>
#include <stdlib.h>

/* Returns a test case without a time limit of its own, in a new suite of that NAME. */
static inline TCase *
suite_new_case (Suite **suite, const char *name)
{
  TCase *tcase = tcase_create (name);

  *suite = suite_create (name);
  tcase_set_timeout (tcase, 0);
  suite_add_tcase (*suite, tcase);
  return tcase;
}

/* Runs SUITE, which is taken over.  Returns the program's exit status. */
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
