/* Tests of the time that a request needs at a target, estimated from its answers. */
#include "core/targets.h"

#include <check.h>
#include <stdlib.h>

/* Guards against unnecessary refusals at a target with constant service times. */
START_TEST(constant_service_times)
{
	struct ht_target *t = ht_target_new(1);

	for (int i = 0; i < 200; i++)
		ht_target_answered(t, 100, 3);
	ck_assert_double_eq_tol(ht_target_time_needed(t), 100, 1);
	free(t);
}
END_TEST

/* Guards against starting requests that miss their deadline because service times vary. */
START_TEST(varying_service_times)
{
	struct ht_target *t = ht_target_new(1);

	for (int i = 0; i < 200; i++)
		ht_target_answered(t, i % 2 ? 20 : 180, 3);
	ck_assert_double_gt(ht_target_time_needed(t), 150);
	ck_assert_double_lt(ht_target_time_needed(t), 220);
	free(t);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("target_need");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, constant_service_times);
	tcase_add_test(tc, varying_service_times);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
