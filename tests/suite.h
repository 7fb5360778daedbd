/* Runs a single test case as a complete test program. */
#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <check.h>
#include <stdlib.h>

static inline int run_case(const char *name, TCase *tc)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
