/* Ownership and lease under the failures of the design, sections 3.2, 3.12 and 3.14. */
#include "tests/control/net.h"

/* Guards against a data centre that never comes into service after a cold start. */
START_TEST(cold_start_serves_all)
{
	for (int n = 1; n <= 5; n++) {
		struct net *net = net_dc(7, n);

		for (int i = 0; i < n; i++)
			ck_assert_uint_eq(net->nodes[i].events[20], 0);
		net_free(net);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ownership");
	TCase *tc = tcase_create("ownership");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, cold_start_serves_all);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
