/* Tests of the settings and of the key file check. */
#include "daemon/settings.h"

#include <check.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define BASE                                                                                       \
	"\"name\": \"a\", \"data_centre\": \"salto\", \"region\": \"r\", "                         \
	"\"peer_address\": \"127.0.0.1:1\", \"admin_address\": \"127.0.0.1:2\", "                  \
	"\"platform_address\": \"127.0.0.1:3\", \"key_file\": \"k\""

static bool parse(const char *text, struct ht_settings *set, struct ht_err *err)
{
	return ht_settings_parse(set, "s.json", text, strlen(text), err);
}

START_TEST(defaults_are_the_design_values)
{
	struct ht_core_params params = {0};
	struct ht_settings set;
	struct ht_err err = {0};

	ck_assert_msg(parse("{" BASE "}", &set, &err), "%s", err.text);
	ht_settings_apply(&set, &params);
	ck_assert_str_eq(params.self.name, "a");
	ck_assert_str_eq(params.self.peer_address, "127.0.0.1:1");
	ck_assert_int_eq(params.heartbeat_min, 500);
	ck_assert_int_eq(params.heartbeat_per_peer, 60);
	ck_assert_int_eq(params.lease_min, 2000);
	ck_assert_int_eq(params.flow_table_max, 262144);
	ck_assert_int_eq(params.answer_cache_bytes, 16 * 1024 * 1024);
	ck_assert(params.retry_ratio == 0.1);
	ck_assert(params.self.size == 1);
	ck_assert_str_eq(set.log_level, "notice");
	ck_assert_ptr_null(set.bind_ip);
	ht_settings_clear(&set);
}
END_TEST

/* Guards against an instance that starts with settings its operator did not mean. */
START_TEST(bad_settings_name_key_and_range)
{
	static const char *const bad[][2] = {
		{"{}", "key 'name' is missing"},
		{"{" BASE ", \"size\": 0.05}", "key 'size': 0.05 is outside 0.1 to 100"},
		{"{" BASE ", \"size\": 101}", "outside 0.1 to 100"},
		{"{" BASE ", \"lease_min\": 1}", "key 'lease_min': 1 is outside 100 to 600000"},
		{"{" BASE ", \"lease_min\": 2.5}", "key 'lease_min': expected a whole number"},
		{"{" BASE ", \"queue_max\": -1}", "outside 0 to 65536"},
		{"{" BASE ", \"log_level\": \"loud\"}", "key 'log_level'"},
		{"{" BASE ", \"bind_ip\": \"localhost\"}", "key 'bind_ip'"},
		{"{" BASE ", \"heartbeat\": 1}", "unknown key 'heartbeat'"},
		{"{" BASE ", \"name\": \"b\"}", "duplicate"},
		{"{" BASE, "s.json:1:"},
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct ht_settings set;
		struct ht_err err = {0};

		ck_assert_msg(!parse(bad[i][0], &set, &err), "%s", bad[i][0]);
		ck_assert_msg(strstr(err.text, bad[i][1]) && strstr(err.text, "s.json"), "%s",
			      err.text);
	}
}
END_TEST

/* Guards against crashes and leaks on any settings file: valid text with bytes changed. */
START_TEST(changed_bytes_do_not_crash)
{
	static const char valid[] = "{" BASE ", \"size\": 2, \"bind_ip\": \"127.0.0.1\"}";
	char text[sizeof(valid)];

	srandom(20261204);
	for (int round = 0; round < 5000; round++) {
		struct ht_settings set;

		memcpy(text, valid, sizeof(valid));
		for (int i = 0; i <= round % 4; i++)
			text[(size_t)random() % (sizeof(valid) - 1)] = (char)random();
		if (ht_settings_parse(&set, "s.json", text, sizeof(valid) - 1, NULL))
			ht_settings_clear(&set);
	}
}
END_TEST

static bool load_key(const char *text, mode_t mode, struct ht_err *err)
{
	char path[] = "/tmp/ht-test-key-XXXXXX";
	int fd = mkstemp(path);
	uint8_t key[HT_KEY_LEN];
	bool ok;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (int)strlen(text));
	ck_assert_int_eq(fchmod(fd, mode), 0);
	close(fd);
	ok = ht_key_load(key, path, err);
	unlink(path);
	if (ok)
		ck_assert_uint_eq(key[HT_KEY_LEN - 1], 0xef);
	return ok;
}

#define DIGITS "0123456789abcdef0123456789abcdef0123456789ABCDEF0123456789abcdef"

/* Guards against a key that others can read, and against a shortened key. */
START_TEST(key_file_is_checked)
{
	struct ht_err err;

	ck_assert(load_key(DIGITS, 0600, &err));
	ck_assert(load_key(DIGITS "\n", 0400, &err));
	ck_assert(!load_key(DIGITS, 0640, &err));
	ck_assert_msg(strstr(err.text, "mode 640") != NULL, "%s", err.text);
	ck_assert(!load_key(DIGITS, 0604, &err));
	ck_assert(!load_key("0123", 0600, &err));
	ck_assert(!load_key(DIGITS "00", 0600, &err));
	ck_assert(!load_key("g123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
			    0600, &err));
	ck_assert_msg(strstr(err.text, "64 hexadecimal digits") != NULL, "%s", err.text);
	ck_assert(!ht_key_load((uint8_t[HT_KEY_LEN]){0}, "/nonexistent/key", &err));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("settings");
	TCase *tc = tcase_create("settings");
	SRunner *runner;
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_test(tc, defaults_are_the_design_values);
	tcase_add_test(tc, bad_settings_name_key_and_range);
	tcase_add_test(tc, changed_bytes_do_not_crash);
	tcase_add_test(tc, key_file_is_checked);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
