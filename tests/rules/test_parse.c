/* Tests of the rules parser. */
#include "base/hash.h"
#include "rules/rules.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define GOOD                                                                                       \
	"# litoral\n"                                                                              \
	"service almacen region litoral address 127.0.1.1:5601 deadline 4000 affinity request # "  \
	"Ines\n"                                                                                   \
	"target almacen a1 dc salto address 127.0.2.1:7001 slots 2 weight 0.5 # Ines\n"            \
	"target almacen a2 dc paysandu address 127.0.2.2:7001 # Ines\n"                            \
	"\n"                                                                                       \
	"share almacen salto 3 # Bruno: more stock there\n"                                        \
	"drain almacen a2 # Ines: new disk\n"

static struct ht_config *parse(const char *text, struct ht_rules_errors *errors)
{
	return ht_rules_parse(text, strlen(text), errors);
}

START_TEST(reads_all_rules)
{
	struct ht_config *cfg = parse(GOOD, NULL);
	const struct ht_service_conf *svc;
	const struct ht_target_conf *t;

	ck_assert_ptr_nonnull(cfg);
	ck_assert_str_eq(cfg->text, GOOD);
	svc = ht_config_service(cfg, ht_hash_str("almacen"));
	ck_assert_ptr_nonnull(svc);
	ck_assert_int_eq(svc->deadline, 4000);
	ck_assert_int_eq(svc->affinity, HT_AFFINITY_REQUEST);
	ck_assert_uint_eq(svc->target_count, 2);
	t = ht_config_target(cfg, ht_hash_str("127.0.2.1:7001"));
	ck_assert_str_eq(t->name, "a1");
	ck_assert_uint_eq(t->slots, 2);
	ck_assert(t->weight > 1.49 && t->weight < 1.51 && !t->draining);
	t = ht_config_target(cfg, ht_hash_str("127.0.2.2:7001"));
	ck_assert_uint_eq(t->slots, 3);
	ck_assert_uint_eq(t->connections, 2000);
	ck_assert(t->draining);
	ht_config_put(cfg);
}
END_TEST

/* Each row: text behind GOOD (8 lines with it), expected place and part of the message. */
static const struct {
	const char *text;
	unsigned int line, column;
	const char *message;
} bad[] = {
	{"target almacen a3 dc salto address 127.0.2.3:7001\n", 8, 50, "without a comment"},
	{"drain almacen a1 #  \n", 8, 17, "without a comment"},
	{"service almacen region r address 127.0.1.9:1 # x\n", 8, 9, "already used in line 2"},
	{"service other region r address 127.0.1.1:5601 # x\n", 8, 32, "already used in line 2"},
	{"target almacen a1 dc salto address 127.0.2.9:7001 # x\n", 8, 16, "line 3"},
	{"target almacen a9 dc salto address 127.0.2.1:7001 # x\n", 8, 36, "line 3"},
	{"target almacen a9 dc salto address 127.0.1.1:5601 # x\n", 8, 36, "line 2"},
	{"target nope a9 dc salto address 127.0.2.9:7001 # x\n", 8, 8, "unknown service 'nope'"},
	{"target almacen a9 dc salto address 127.0.2.9 # x\n", 8, 36, "127.0.2.9"},
	{"target almacen a9 dc s address 127.0.2.9:1 slots 0 # x\n", 8, 50, "bad number '0'"},
	{"target almacen a9 dc s address 127.0.2.9:1 slots -1 # x\n", 8, 50, "bad number"},
	{"target almacen a9 dc s address 127.0.2.9:1 weight nan # x\n", 8, 51, "bad weight"},
	{"target almacen a9 dc s address 127.0.2.9:1 slots 1 slots 2 # x\n", 8, 52, "twice"},
	{"target almacen a9 dc s address 127.0.2.9:1 slots # x\n", 8, 44, "no value"},
	{"target almacen a9 dc s address 127.0.2.9:1 colour 1 # x\n", 8, 44, "unknown word"},
	{"target almacen a9 salto # x\n", 8, 19, "'dc' is missing"},
	{"target almacen a/9 dc s address 127.0.2.9:1 # x\n", 8, 17, "not allowed"},
	{"share almacen fray 1 # x\n", 8, 15, "no target in data centre"},
	{"share almacen salto 1 # x\n", 8, 15, "line 6"},
	{"drain almacen a7 # x\n", 8, 15, "no target 'a7'"},
	{"drain almacen a2 # x\n", 8, 15, "line 7"},
	{"evacuate almacen fray # x\n", 8, 18, "no target in data centre"},
	{"evacuate nope salto # x\n", 8, 10, "unknown service 'nope'"},
	{"evacuate almacen # x\n", 8, 17, "words are missing"},
	{"evacuate almacen salto now # x\n", 8, 24, "3 words"},
	{"evacuate almacen salto # x\nevacuate almacen salto # y\n", 9, 18, "line 8"},
	{"colour almacen # x\n", 8, 1, "unknown rule"},
	{"service # x\n", 8, 8, "name is missing"},
	{"# caf\xe9\n", 8, 1, "UTF-8"},
	{"drain almacen a1 # x\r\n", 8, 21, "carriage return"},
	{"service o region r address 127.0.1.9:1 affinity any # x\n", 8, 49, "affinity"},
	{"service o region r address 127.0.1.9:1 deadline 5s # x\n", 8, 49, "deadline"},
};

/* Guards against a faulty rule that is taken, or an error that names the wrong place. */
START_TEST(refuses_with_place)
{
	struct ht_rules_errors errors;
	char text[1024];

	snprintf(text, sizeof(text), "%s%s", GOOD, bad[_i].text);
	ck_assert_ptr_null(parse(text, &errors));
	ck_assert_msg(errors.count == 1, "'%s': %zu errors", bad[_i].text, errors.count);
	ck_assert_msg(errors.items[0].line == bad[_i].line &&
			      errors.items[0].column == bad[_i].column &&
			      strstr(errors.items[0].text, bad[_i].message),
		      "'%s': %u:%u: %s", bad[_i].text, errors.items[0].line, errors.items[0].column,
		      errors.items[0].text);
	ht_rules_errors_clear(&errors);
}
END_TEST

START_TEST(evacuated_targets_drain)
{
	struct ht_config *cfg = parse(GOOD "evacuate almacen salto # Ines: power work\n"
					   "target almacen a3 dc salto address 127.0.2.3:7001 # y\n"
					   "target almacen a4 dc fray address 127.0.2.4:7001 # y\n",
				      NULL);

	ck_assert_ptr_nonnull(cfg);
	ck_assert(ht_config_target(cfg, ht_hash_str("127.0.2.1:7001"))->draining);
	ck_assert(ht_config_target(cfg, ht_hash_str("127.0.2.3:7001"))->draining);
	ck_assert(ht_config_target(cfg, ht_hash_str("127.0.2.3:7001"))->weight <= 0);
	ck_assert(!ht_config_target(cfg, ht_hash_str("127.0.2.4:7001"))->draining);
	ht_config_put(cfg);
}
END_TEST

/* Guards against an operator who must run the check once per error. */
START_TEST(reports_all_errors_in_order)
{
	struct ht_rules_errors errors;
	char *out = NULL;
	size_t len;
	FILE *f = open_memstream(&out, &len);

	ck_assert_ptr_null(
		parse("drain x y # z\nservice a region r address 1:1\nfoo # a\n", &errors));
	ck_assert_uint_eq(errors.count, 4);
	ht_rules_errors_print(&errors, "f.rules", f);
	fclose(f);
	ck_assert_ptr_nonnull(strstr(out, "f.rules:1:7: unknown service 'x' (add"));
	ck_assert_ptr_nonnull(strstr(out, "f.rules:3:1: unknown rule (a rule starts"));
	ck_assert(strstr(out, ":1:7:") < strstr(out, ":3:1:"));
	free(out);
	ht_rules_errors_clear(&errors);
}
END_TEST

/* Guards against an empty file that withdraws every service. */
START_TEST(refuses_no_service_and_no_weight)
{
	ck_assert_ptr_null(parse("", NULL));
	ck_assert_ptr_null(parse("# only a comment\n", NULL));
	ck_assert_ptr_null(parse("service a region r address 127.0.0.1:1 # x\n"
				 "target a t dc d address 127.0.0.2:1 # x\nshare a d 0 # x\n",
				 NULL));
}
END_TEST

/* Guards against unbounded memory for a file of garbage. */
START_TEST(bounds_the_errors)
{
	struct ht_rules_errors errors;
	char *text = malloc(20000 + 1);

	for (int i = 0; i < 10000; i++)
		memcpy(text + 2 * i, "x\n", 3);
	ck_assert_ptr_null(parse(text, &errors));
	ck_assert_uint_eq(errors.count, HT_RULES_ERRORS_MAX);
	ck_assert_uint_eq(errors.total, 20000);
	ht_rules_errors_clear(&errors);
	free(text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("parse");
	TCase *tc = tcase_create("parse");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, reads_all_rules);
	tcase_add_test(tc, evacuated_targets_drain);
	tcase_add_loop_test(tc, refuses_with_place, 0, sizeof(bad) / sizeof(bad[0]));
	tcase_add_test(tc, reports_all_errors_in_order);
	tcase_add_test(tc, refuses_no_service_and_no_weight);
	tcase_add_test(tc, bounds_the_errors);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
