/* Tests of the settings file: defaults, accepted values and rejected ones. */
#include "entry/settings.h"
#include "tests/suite.h"

#include <stdio.h>
#include <string.h>

#define ADDRESSES                                                                                  \
	"\"packet_address\":\"10.0.0.1:1\",\"ready_address\":\"10.0.0.1:2\","                      \
	"\"store_address\":\"10.0.0.2:3\",\"peer_address\":\"10.0.0.1:4\""
#define PLACE "\"instance\":\"a\",\"data_centre\":\"b\","

static struct ht_entry_settings set;
static struct ht_err err;

static bool parse(const char *text)
{
	return ht_entry_settings_parse(&set, "settings", text, strlen(text), &err);
}

START_TEST(optional_settings_have_defaults)
{
	ck_assert(parse("{" PLACE ADDRESSES "}"));
	ck_assert(set.drain_bound == 3000 && set.config_bound == 3000);
	ck_assert(set.stop_grace_s == 6 && set.flow_max_s == 60 && set.core_share == 1);
	ck_assert_str_eq(set.seeds, "");
	ht_entry_settings_clear(&set);
}
END_TEST

/* An instance must also start if the template renders a bound as a fraction. */
START_TEST(bounds_may_be_fractions)
{
	ck_assert(parse(
		"{\"stop_grace_s\":4.5,\"drain_bound\":2500.5,\"core_share\":0.028," PLACE ADDRESSES
		"}"));
	ck_assert(set.stop_grace_s == 4.5 && set.drain_bound == 2500.5);
	ht_entry_settings_clear(&set);
}
END_TEST

START_TEST(errors_name_the_key)
{
	static const char *const bad[][2] = {
		{"{" PLACE "\"packet_address\":\"10.0.0.1:1\"}", "ready_address"},
		{"{\"drain_bound\":1," PLACE ADDRESSES "}", "drain_bound"},
		{"{\"log_level\":\"loud\"," PLACE ADDRESSES "}", "log_level"},
		{"{\"colour\":1," PLACE ADDRESSES "}", "colour"},
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		ck_assert(!parse(bad[i][0]));
		ck_assert_ptr_nonnull(strstr(err.text, bad[i][1]));
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("settings");

	tcase_add_test(tc, optional_settings_have_defaults);
	tcase_add_test(tc, bounds_may_be_fractions);
	tcase_add_test(tc, errors_name_the_key);
	return run_case("settings", tc);
}
