/* Tests that the examples stay valid; run from the root of the tree. */
#include "base/addr.h"
#include "rules/rules.h"

#include <check.h>
#include <glob.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	int instances;
} deployments[] = {{"litoral", 9}, {"bretagne", 8}};

/* Guards against example rules that hickoryctl refuses. */
START_TEST(rules_parse)
{
	const char *name = deployments[_i].name;
	char path[128], text[16384];
	struct ht_rules_errors errors;
	struct ht_config *cfg;
	size_t len;
	FILE *f;

	snprintf(path, sizeof(path), "examples/%s/%s.rules", name, name);
	f = fopen(path, "r");
	ck_assert_ptr_nonnull(f);
	len = fread(text, 1, sizeof(text), f);
	fclose(f);
	cfg = ht_rules_parse(text, len, &errors);
	ht_rules_errors_print(&errors, path, stderr);
	ck_assert_ptr_nonnull(cfg);
	ck_assert_uint_eq(cfg->service_count, 2);
	ck_assert_uint_eq(cfg->target_count, 18);
	ht_config_put(cfg);
}
END_TEST

/* Guards against settings that lack a key or share an address with another instance. */
START_TEST(settings_are_complete)
{
	static const char *const keys[] = {"name", "data_centre", "region", "key_file"};
	static const char *const addresses[] = {"peer_address", "admin_address",
						"platform_address"};
	json_t *seen = json_object();
	char pattern[128];
	glob_t files;

	snprintf(pattern, sizeof(pattern), "examples/%s/settings/*.json", deployments[_i].name);
	ck_assert_int_eq(glob(pattern, 0, NULL, &files), 0);
	ck_assert_int_eq((int)files.gl_pathc, deployments[_i].instances);
	for (size_t i = 0; i < files.gl_pathc; i++) {
		json_t *root = json_load_file(files.gl_pathv[i], 0, NULL);
		struct ht_addr addr;

		for (size_t k = 0; k < 4; k++)
			ck_assert(json_is_string(json_object_get(root, keys[k])));
		for (size_t k = 0; k < 3; k++) {
			const char *text = json_string_value(json_object_get(root, addresses[k]));

			ck_assert(text && ht_addr_parse(&addr, text, NULL));
			ck_assert(k == 2 || !json_object_get(seen, text));
			json_object_set_new(seen, text, json_true());
		}
		json_decref(root);
	}
	globfree(&files);
	json_decref(seen);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("examples");
	TCase *tc = tcase_create("examples");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tc, rules_parse, 0, 2);
	tcase_add_loop_test(tc, settings_are_complete, 0, 2);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
