/* Tests of differences, parts, the head and the check of a change. */
#include "base/hash.h"
#include "rules/rules.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES                                                                                   \
	"# stock\nservice a region r address 127.0.1.1:1 # x\n"                                    \
	"service b region r address 127.0.1.2:1 # x\n"
#define TARGET(s, t, ip) "target " s " " t " dc d address " ip " # x\n"

static void round_trip(const char *from, const char *to, size_t removed, size_t added)
{
	struct ht_rules_diff diff;
	char *text;

	ck_assert(ht_rules_diff(from, to, &diff));
	ck_assert_msg(diff.removed_count == removed && diff.added_count == added,
		      "'%s' to '%s': -%zu +%zu", from, to, diff.removed_count, diff.added_count);
	text = ht_rules_patch(from, &diff, NULL);
	ck_assert_ptr_nonnull(text);
	ck_assert_str_eq(text, to);
	free(text);
	ht_rules_diff_clear(&diff);
}

START_TEST(difference_is_small_and_exact)
{
	round_trip("", "", 0, 0);
	round_trip("", "a\nb\n", 0, 2);
	round_trip("a\nb\n", "", 2, 0);
	round_trip("a\nb\nc\n", "a\nx\nc\n", 1, 1);
	round_trip("a\n\nb\n\nc\n", "a\n\n\nc\n\nd\n", 1, 2);
	round_trip("b\na\n", "a\nb\n", 1, 1);
	round_trip("a\nb\nc\na\nb\nb\na\n", "c\nb\na\nb\na\nc\n", 3, 2);
}
END_TEST

/* Guards against a wrong result of any edit: texts of few distinct lines reach all paths. */
START_TEST(difference_of_random_texts)
{
	unsigned int seed = 20261204;

	for (int run = 0; run < 2000; run++) {
		char text[2][256];

		for (int i = 0; i < 2; i++) {
			int n = rand_r(&seed) % 40;
			char *at = text[i];

			for (int k = 0; k < n; k++) {
				*at++ = (char)('a' + rand_r(&seed) % 4);
				*at++ = '\n';
			}
			*at = 0;
		}
		struct ht_rules_diff diff;
		char *out;

		ck_assert(ht_rules_diff(text[0], text[1], &diff));
		out = ht_rules_patch(text[0], &diff, NULL);
		ck_assert_str_eq(out, text[1]);
		free(out);
		ht_rules_diff_clear(&diff);
	}
}
END_TEST

/* Guards against time and memory without bound for two large texts without common lines. */
START_TEST(difference_of_large_texts)
{
	char *a = calloc(1, 400000), *b = calloc(1, 400000), *at = a, *bt = b;

	for (int i = 0; i < 20000; i++) {
		at += sprintf(at, "line %d\n", i);
		bt += sprintf(bt, "%s %d\n", i % 2 ? "line" : "other", i);
	}
	round_trip(a, b, 19999, 19999);
	free(a);
	free(b);
}
END_TEST

/* Guards against a peer that corrupts the rules with a difference to another text. */
START_TEST(patch_refuses_what_does_not_fit)
{
	static char *const removed[] = {"2 b"}, *const wrong[] = {"2 x"}, *const far[] = {"9 b"},
			   *const junk[] = {"b"};
	static char *const added[] = {"2 y"}, *const twice[] = {"2 y", "2 y"};
	struct ht_rules_diff good = {(char **)removed, 1, (char **)added, 1, ht_hash_str("a\ny\n")};
	struct ht_rules_diff bad;
	char *text = ht_rules_patch("a\nb\n", &good, NULL);

	ck_assert_str_eq(text, "a\ny\n");
	free(text);
	ck_assert_ptr_null(ht_rules_patch("a\nc\n", &good, NULL));
	ck_assert_ptr_null(ht_rules_patch("", &good, NULL));
	bad = good;
	bad.text_hash++;
	ck_assert_ptr_null(ht_rules_patch("a\nb\n", &bad, NULL));
	for (int i = 0; i < 3; i++) {
		bad = good;
		bad.removed = (char **)(i == 0 ? wrong : i == 1 ? far : junk);
		ck_assert_ptr_null(ht_rules_patch("a\nb\n", &bad, NULL));
	}
	bad = good;
	bad.added = (char **)twice;
	bad.added_count = 2;
	ck_assert_ptr_null(ht_rules_patch("a\nb\n", &bad, NULL));
}
END_TEST

START_TEST(parts_keep_comments_and_order)
{
	static const char text[] = SERVICES "# first of b\n" TARGET("b", "b1", "127.0.2.1:1")
		TARGET("a", "a1", "127.0.2.2:1") "# end\n";
	struct ht_rules_parts parts;
	struct ht_rules_part copy = {0};
	char *joined, *json;

	ck_assert(ht_rules_parts_split(text, &parts, NULL));
	ck_assert_uint_eq(parts.count, 2);
	ck_assert_str_eq(parts.items[0].text,
			 "# stock\nservice a region r address 127.0.1.1:1 # x\n" TARGET(
				 "a", "a1", "127.0.2.2:1") "# end\n");
	ck_assert_str_eq(parts.items[1].text,
			 "service b region r address 127.0.1.2:1 # x\n# first of b\n" TARGET(
				 "b", "b1", "127.0.2.1:1"));
	joined = ht_rules_parts_join(&parts);
	ck_assert_uint_eq(strlen(joined), strlen(text));
	free(joined);

	json = ht_rules_part_format(&parts.items[1]);
	memcpy(copy.hash, parts.items[1].hash, sizeof(copy.hash));
	ck_assert(ht_rules_part_parse(json, strlen(json), &copy, NULL));
	ck_assert_str_eq(copy.text, parts.items[1].text);
	/* Guards against a part that was damaged at the platform. */
	copy.hash[0] = copy.hash[0] == '0' ? '1' : '0';
	ck_assert(!ht_rules_part_parse(json, strlen(json), &copy, NULL));
	free(copy.text);
	free(json);
	ht_rules_parts_clear(&parts);
}
END_TEST

START_TEST(head_round_trip)
{
	struct ht_rules_head head = {.version = 7, .parent = 6, .change_id = "c"}, copy;
	struct ht_rules_retired gone = {"127.0.0.9:1", "a", 1234};
	struct ht_err err;
	char *json;

	ck_assert(ht_rules_parts_split(SERVICES, &head.parts, NULL));
	strcpy(head.recent[0], "c");
	strcpy(head.recent[1], "b");
	head.recent_count = 2;
	head.retired = (struct ht_rules_retired_list){&gone, 1};
	json = ht_rules_head_format(&head);
	ck_assert(ht_rules_head_parse(json, strlen(json), &copy, NULL));
	ck_assert_uint_eq(copy.version, 7);
	ck_assert_uint_eq(copy.parent, 6);
	ck_assert_str_eq(copy.change_id, "c");
	ck_assert_uint_eq(copy.parts.count, 2);
	ck_assert_str_eq(copy.parts.items[1].hash, head.parts.items[1].hash);
	ck_assert_uint_eq(copy.retired.count, 1);
	ck_assert_int_eq(copy.retired.items[0].at, 1234);
	ck_assert_uint_eq(copy.recent_count, 2);
	ck_assert_str_eq(copy.recent[1], "b");
	ht_rules_head_clear(&copy);
	ht_rules_parts_clear(&head.parts);
	free(json);
	for (size_t i = 0; i < 3; i++) {
		static const char *const bad[] = {
			"[]", "{\"version\":-1,\"parent\":0,\"change_id\":\"\",\"parts\":[]}",
			"{\"version\":1,\"parent\":0,\"change_id\":\"\",\"parts\":[{\"service\":"
			"\"a\",\"hash\":\"../../status/x\"}]}"};

		ck_assert(!ht_rules_head_parse(bad[i], strlen(bad[i]), &copy, &err));
	}
}
END_TEST

static size_t faults(const struct ht_config *accepted, const char *next,
		     const struct ht_rules_retired_list *retired, ht_ms now)
{
	struct ht_rules_errors errors = {0};
	size_t n;

	ht_rules_check_change(accepted, next, retired, now, &errors);
	n = errors.total;
	ht_rules_errors_clear(&errors);
	return n;
}

/* Guards against two services that share an address while views of the rules differ. */
START_TEST(address_changes_service_only_after_a_pause)
{
	static const char with[] = SERVICES TARGET("a", "t", "127.0.2.1:1");
	static const char moved[] = SERVICES TARGET("b", "t", "127.0.2.1:1");
	struct ht_config *cfg = ht_rules_parse(with, strlen(with), NULL);
	struct ht_config *empty = ht_rules_parse(SERVICES, strlen(SERVICES), NULL);
	struct ht_rules_retired_list none = {0}, gone, later;

	ck_assert_uint_eq(faults(NULL, with, &none, 0), 0);
	ck_assert_uint_eq(faults(cfg, with, &none, 0), 0);
	ck_assert_uint_eq(faults(cfg, moved, &none, 0), 1);
	ck_assert(ht_rules_retire(cfg, empty, &none, 1000, &gone));
	ck_assert_uint_eq(gone.count, 1);
	ck_assert_uint_eq(faults(empty, moved, &gone, 1000), 1);
	ck_assert_uint_eq(faults(empty, moved, &gone, 60999), 1);
	ck_assert_uint_eq(faults(empty, moved, &gone, 61000), 0);
	ck_assert_uint_eq(faults(empty, with, &gone, 1000), 0);
	ck_assert(ht_rules_retire(empty, empty, &gone, 2000, &later));
	ck_assert_uint_eq(later.count, 1);
	free(later.items);
	ck_assert(ht_rules_retire(empty, empty, &gone, 61000, &later));
	ck_assert_uint_eq(later.count, 0);
	free(later.items);
	free(gone.items);
	ht_config_put(cfg);
	ht_config_put(empty);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("change");
	TCase *tc = tcase_create("change");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, difference_is_small_and_exact);
	tcase_add_test(tc, difference_of_random_texts);
	tcase_add_test(tc, difference_of_large_texts);
	tcase_add_test(tc, patch_refuses_what_does_not_fit);
	tcase_add_test(tc, parts_keep_comments_and_order);
	tcase_add_test(tc, head_round_trip);
	tcase_add_test(tc, address_changes_service_only_after_a_pause);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
