/* Tests of option tables, addresses and rendezvous hashing. */
#include "base/addr.h"
#include "base/hash.h"
#include "base/options.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

struct settings {
	char *name;
	int64_t count;
	struct ht_addr addr;
};

static const struct ht_option table[] = {
	{.name = "name",
	 .type = HT_OPT_STRING,
	 .offset = offsetof(struct settings, name),
	 .required = true,
	 .min = 1,
	 .max = 63,
	 .help = "name"},
	{.name = "count",
	 .type = HT_OPT_INT,
	 .offset = offsetof(struct settings, count),
	 .min = 1,
	 .max = 9,
	 .def = "3",
	 .help = "count"},
	{.name = "address",
	 .type = HT_OPT_ADDR,
	 .offset = offsetof(struct settings, addr),
	 .def = "127.0.0.1:1",
	 .help = "address"},
	{.name = NULL},
};

static bool load(const char *text, struct settings *out, struct ht_err *err)
{
	memset(out, 0, sizeof(*out));
	return ht_options_load(table, "f.json", text, strlen(text), out, err);
}

START_TEST(options_take_defaults)
{
	struct settings s;
	struct ht_err err;

	ck_assert(load("{\"name\": \"a\"}", &s, &err));
	ck_assert_str_eq(s.name, "a");
	ck_assert_int_eq(s.count, 3);
	ht_options_clear(table, &s);
}
END_TEST

/* Guards against silently accepting settings with a misspelt key or a wrong value. */
START_TEST(options_refuse_bad_input)
{
	static const char *const bad[][2] = {
		{"{}", "'name' is missing"},
		{"{\"name\": 1}", "expected a string"},
		{"{\"name\": \"a\", \"coutn\": 1}", "unknown key 'coutn'"},
		{"{\"name\": \"a\", \"count\": 10}", "outside 1 to 9"},
		{"{\"name\": \"a\", \"address\": \"x:1\"}", "not an IP number"},
		{"{\"name\": \"a\", \"name\": \"b\"}", "duplicate"},
		{"[]", "not a JSON object"},
		{"{", "f.json:1:"},
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct settings s;
		struct ht_err err;

		ck_assert(!load(bad[i][0], &s, &err));
		ck_assert_msg(strstr(err.text, bad[i][1]) && strstr(err.text, "f.json"), "%s",
			      err.text);
	}
}
END_TEST

START_TEST(addresses_round_trip)
{
	static const char *const good[] = {"127.0.0.1:80", "[::1]:5683"};
	char buf[HT_ADDR_TEXT];
	struct ht_addr addr;

	for (size_t i = 0; i < 2; i++) {
		ck_assert(ht_addr_parse(&addr, good[i], NULL));
		ck_assert_str_eq(ht_addr_format(&addr, buf), good[i]);
	}
	ck_assert(!ht_addr_parse(&addr, "127.0.0.1", NULL));
	ck_assert(!ht_addr_parse(&addr, "127.0.0.1:0", NULL));
	ck_assert(!ht_addr_parse(&addr, "127.0.0.1:70000", NULL));
}
END_TEST

/* Guards against shares of keys that are not proportional to the weights. */
START_TEST(rendezvous_follows_weights)
{
	int won = 0;

	for (uint64_t key = 0; key < 20000; key++)
		won += ht_rendezvous_score(key, 1, 3) > ht_rendezvous_score(key, 2, 1);
	ck_assert_int_gt(won, 14600);
	ck_assert_int_lt(won, 15400);
	ck_assert(ht_rendezvous_score(1, 1, 0) == 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("base");
	TCase *tc = tcase_create("base");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, options_take_defaults);
	tcase_add_test(tc, options_refuse_bad_input);
	tcase_add_test(tc, addresses_round_trip);
	tcase_add_test(tc, rendezvous_follows_weights);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
