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

/* Guards against defaults of the program that differ from those of the library, which tests and
 * measurements of admission use. */
START_TEST(admission_defaults_are_those_of_the_library)
{
	struct ht_admission_params def, got;

	ht_admission_params_default(&def);
	ck_assert(parse("{" PLACE ADDRESSES "}"));
	got = ht_entry_settings_admission(&set);
	ck_assert(set.overload_control);
	ck_assert(got.begin == def.begin && got.end == def.end && got.shed == def.shed);
	ck_assert(got.updates == def.updates && got.depth == def.depth);
	ck_assert(got.horizon == def.horizon && got.turn == def.turn);
	ht_entry_settings_clear(&set);
}
END_TEST

/* Guards against a setting that is read into the parameter of another one. */
START_TEST(admission_settings_reach_their_parameters)
{
	struct ht_admission_params got;

	ck_assert(parse("{\"overload_control\":false,\"admission_begin\":2.5,"
			"\"admission_end\":2,\"admission_shed\":0.1,\"admission_updates\":3,"
			"\"admission_depth\":4,\"admission_horizon\":1500,"
			"\"admission_turn\":2500," PLACE ADDRESSES "}"));
	got = ht_entry_settings_admission(&set);
	ck_assert(!set.overload_control);
	ck_assert(got.begin == 2.5 && got.end == 2 && got.shed == 0.1 && got.updates == 3);
	ck_assert(got.depth == 4 && got.horizon == 1500 && got.turn == 2500);
	ht_entry_settings_clear(&set);
}
END_TEST

/* Guards against values by which no request is admitted or the state changes at each update. */
START_TEST(admission_settings_are_checked)
{
	static const char *const bad[][2] = {
		{"\"admission_begin\":0", "admission_begin"},
		{"\"admission_end\":1.6", "admission_end"},
		{"\"admission_shed\":0", "admission_shed"},
		{"\"admission_updates\":0", "admission_updates"},
		{"\"admission_updates\":1.5", "admission_updates"},
		{"\"admission_depth\":0.5", "admission_depth"},
		{"\"admission_horizon\":0", "admission_horizon"},
		{"\"admission_turn\":0", "admission_turn"},
		{"\"overload_control\":1", "overload_control"},
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		char text[512];

		snprintf(text, sizeof(text), "{%s,%s}", bad[i][0], PLACE ADDRESSES);
		ck_assert(!parse(text));
		ck_assert_msg(strstr(err.text, bad[i][1]), "%s", err.text);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("settings");

	tcase_add_test(tc, optional_settings_have_defaults);
	tcase_add_test(tc, bounds_may_be_fractions);
	tcase_add_test(tc, errors_name_the_key);
	tcase_add_test(tc, admission_defaults_are_those_of_the_library);
	tcase_add_test(tc, admission_settings_reach_their_parameters);
	tcase_add_test(tc, admission_settings_are_checked);
	return run_case("settings", tc);
}
