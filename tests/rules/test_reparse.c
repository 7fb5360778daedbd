/* Tests that parsing a change gives what parsing the whole text gives. */
#include "rules/rules.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES 12

/* A random rules text: services with targets, shares, drains and comments; some with faults. */
static char *random_text(unsigned int *seed, const char *prev)
{
	char *text = NULL;
	size_t len;
	FILE *out = open_memstream(&text, &len);
	const char *at = prev;

	for (int s = 0; s < SERVICES; s++) {
		const char *next = at ? strstr(at, "# end\n") : NULL;

		/* Most services stay as they were. */
		if (next && rand_r(seed) % 8) {
			fwrite(at, 1, (size_t)(next + 6 - at), out);
			at = next + 6;
			continue;
		}
		at = next ? next + 6 : NULL;
		if (rand_r(seed) % 10)
			fprintf(out, "service s%d region r address 127.1.0.%d:1 # x\n", s,
				rand_r(seed) % 30 ? s + 1 : 1);
		for (int t = rand_r(seed) % 4; t > 0; t--)
			fprintf(out, "target s%d t%d dc d%d address 127.2.%d.%d:1 weight %d # x\n",
				s, t, t % 2, s, rand_r(seed) % 40 ? t : 1, 1 + t);
		if (rand_r(seed) % 4 == 0)
			fprintf(out, "share s%d d1 0.5 # x\n", s);
		if (rand_r(seed) % 4 == 0)
			fprintf(out, "drain s%d t1 # x\n", s);
		if (rand_r(seed) % 6 == 0)
			fprintf(out, "evacuate s%d d0 # x\n", s);
		if (rand_r(seed) % 8 == 0)
			fprintf(out, "target s%d u dc d address 127.1.0.%d:1 # x\n", s,
				1 + rand_r(seed) % SERVICES);
		fprintf(out, "# end\n");
	}
	fclose(out);
	return text;
}

static void check_equal(const struct ht_config *a, const struct ht_config *b)
{
	char text[2][HT_ADDR_TEXT];

	ck_assert_str_eq(a->text, b->text);
	ck_assert_uint_eq(a->service_count, b->service_count);
	ck_assert_uint_eq(a->target_count, b->target_count);
	for (size_t i = 0; i < a->service_count; i++) {
		const struct ht_service_conf *x = &a->services[i], *y = &b->services[i];

		ck_assert_str_eq(x->name, y->name);
		ck_assert_uint_eq(x->target_set, y->target_set);
		ck_assert_uint_eq(x->target_count, y->target_count);
		ck_assert_str_eq(ht_addr_format(&x->addr, text[0]),
				 ht_addr_format(&y->addr, text[1]));
	}
	for (size_t i = 0; i < a->target_count; i++) {
		const struct ht_target_conf *x = &a->targets[i], *y = &b->targets[i];

		ck_assert(x->id == y->id && x->service == y->service && x->slots == y->slots &&
			  x->draining == y->draining && x->weight == y->weight);
		ck_assert_str_eq(x->name, y->name);
		ck_assert_str_eq(x->dc, y->dc);
	}
}

/* Guards against an instance whose rules differ from those of one that read them whole. */
START_TEST(same_as_whole_parse)
{
	unsigned int seed = 20261204;
	struct ht_config *cfg = NULL;
	char *text = NULL;
	int good = 0, bad = 0;

	for (int run = 0; run < 4000; run++) {
		char *next = random_text(&seed, text);
		struct ht_config *whole = ht_rules_parse(next, strlen(next), NULL);
		struct ht_config *part = ht_rules_reparse(cfg, next, strlen(next), NULL);

		ck_assert((whole != NULL) == (part != NULL));
		if (whole) {
			check_equal(whole, part);
			ht_config_put(cfg);
			cfg = part;
			free(text);
			text = next;
			good++;
		} else {
			free(next);
			bad++;
		}
		ht_config_put(whole);
	}
	ck_assert_int_gt(good, 500);
	ck_assert_int_gt(bad, 500);
	ht_config_put(cfg);
	free(text);
}
END_TEST

/* Guards against faults that no changed line shows by itself. */
START_TEST(reports_faults_of_the_whole)
{
	static const char old[] = "service a region r address 127.0.0.1:1 # x\n"
				  "target a t dc d address 127.0.0.2:1 # x\n"
				  "drain a t # x\n";
	static const char gone[] = "service a region r address 127.0.0.1:1 # x\n"
				   "drain a t # x\n";
	struct ht_config *cfg = ht_rules_parse(old, strlen(old), NULL);
	struct ht_rules_errors errors;
	char wide[300];

	/* Found by the fuzz target: a service name too long to be looked for was skipped. */
	snprintf(wide, sizeof(wide), "%sshare %0100d d 1 # x\n", old, 1);
	ck_assert_ptr_null(ht_rules_reparse(cfg, wide, strlen(wide), NULL));
	ck_assert_ptr_null(ht_rules_reparse(cfg, gone, strlen(gone), &errors));
	ck_assert_uint_eq(errors.total, 1);
	ck_assert_uint_eq(errors.items[0].line, 2);
	ht_rules_errors_clear(&errors);
	ck_assert_ptr_null(ht_rules_reparse(cfg, "", 0, NULL));
	ht_config_put(cfg);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("reparse");
	TCase *tc = tcase_create("reparse");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, same_as_whole_parse);
	tcase_add_test(tc, reports_faults_of_the_whole);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
