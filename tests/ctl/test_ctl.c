/* Tests of hickoryctl against a small platform and small instances. */
#include "base/hash.h"
#include "ctl/ctl.h"
#include "tests/platform/fake_platform.h"

#include <glib/gstdio.h>

#define SERVICE_A "service a region r address 127.0.1.1:1 # x\n"
#define SERVICE_B "service b region r address 127.0.1.2:1 # x\n"
#define TARGET_A "target a a1 dc d address 127.0.2.1:1 # x\n"
#define TARGET_A2 "target a a2 dc e address 127.0.2.2:1 # x\n"
#define TARGET_B "target b b1 dc d address 127.0.2.1:1 # x\n"

static struct fake platform, one, two;
static char file[] = "/tmp/ht-ctl-XXXXXX";
static char *out; /* what the last run wrote to its output and error streams */

static int run(const char *first, ...)
{
	char *argv[16] = {"hickoryctl", "--platform", platform.addr, (char *)first};
	char *errs = NULL, *text = NULL;
	size_t len;
	FILE *o = open_memstream(&text, &len), *e = open_memstream(&errs, &len);
	int argc = 4, status;
	va_list ap;

	va_start(ap, first);
	while ((argv[argc] = va_arg(ap, char *)))
		argc++;
	va_end(ap);
	status = ht_ctl_main(argc, argv, o, e);
	fclose(o);
	fclose(e);
	g_free(out);
	out = g_strconcat(text, errs, NULL);
	free(text);
	free(errs);
	return status;
}

static int apply(const char *text)
{
	ck_assert(g_file_set_contents(file, text, -1, NULL));
	return run("apply", file, NULL);
}

static json_t *head_value(void)
{
	return json_object_get(json_object_get(platform.objects, "config/head"), "value");
}

static long head_number(const char *key)
{
	return json_integer_value(json_object_get(head_value(), key));
}

static void add_instance(struct fake *f, const char *name, long version)
{
	json_array_append_new(platform.instances,
			      json_pack("{ssssssss}", "name", name, "data_centre", "d",
					"admin_address", f->addr, "state", "live"));
	f->status = json_pack("{sssssIs[{sssssssssisisi}]s{sisi}}", "name", name, "data_centre",
			      "d", "config_version", (json_int_t)version, "targets", "id",
			      "0123456789abcdef", "name", "a1", "service", "a", "state", "up",
			      "slots", 3, "in_flight", 1, "queued", 0, "counters", "forwards_sent",
			      5, "retries", 2);
}

static void start(void)
{
	int fd;

	fake_start(&platform);
	fake_start(&one);
	fake_start(&two);
	fd = g_mkstemp(file);
	ck_assert_int_ge(fd, 0);
	close(fd);
}

static void stop(void)
{
	g_unlink(file);
	g_free(out);
	fake_stop(&platform);
	fake_stop(&one);
	fake_stop(&two);
}

START_TEST(apply_show_and_diff)
{
	char *text;

	ck_assert_int_eq(run("show", NULL), HT_CTL_FAILED);
	ck_assert_int_eq(apply(SERVICE_A TARGET_A), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 1);
	ck_assert_int_eq(run("show", NULL), HT_CTL_DONE);
	ck_assert(g_str_has_prefix(out, "# base version 1, change "));
	ck_assert(g_str_has_suffix(out, "\n" SERVICE_A TARGET_A));
	/* What show prints is taken again, and changes nothing. */
	ck_assert_int_eq(apply(out), HT_CTL_DONE);
	ck_assert_ptr_nonnull(strstr(out, "unchanged: version 1"));
	g_file_set_contents(file, SERVICE_A "# note\n" TARGET_A, -1, NULL);
	ck_assert_int_eq(run("diff", file, NULL), HT_CTL_DONE);
	ck_assert_str_eq(out, "+# note\n");
	text = g_strdup_printf("# base version 1\n%s", SERVICE_A);
	ck_assert_int_eq(apply(text), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 2);
	ck_assert_int_eq(head_number("parent"), 1);
	g_free(text);
	/* The file can be edited on and applied again. */
	ck_assert(g_file_get_contents(file, &text, NULL, NULL));
	ck_assert_str_eq(text, "# base version 2\n" SERVICE_A);
	g_free(text);
}
END_TEST

START_TEST(bad_input_changes_nothing)
{
	ck_assert_int_eq(apply("service a region r address 127.0.1.1:1\n"), HT_CTL_USAGE);
	ck_assert_ptr_nonnull(strstr(out, ":1:39: rule without a comment"));
	ck_assert_int_eq(platform.writes, 0);
	ck_assert_int_eq(run("apply", "/nonexistent", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(run("apply", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(run("colour", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(run("show", "--colour", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(run("show", "--help", NULL), HT_CTL_DONE);
	ck_assert_ptr_nonnull(strstr(out, "Examples:"));
}
END_TEST

/* Guards against two services that use one address while views of the rules differ. */
START_TEST(address_is_not_moved_at_once)
{
	ck_assert_int_eq(apply(SERVICE_A TARGET_A SERVICE_B), HT_CTL_DONE);
	ck_assert_int_eq(apply(SERVICE_A SERVICE_B TARGET_B), HT_CTL_USAGE);
	ck_assert_ptr_nonnull(strstr(out, ":3:26: address 127.0.2.1:1 still belongs"));
	ck_assert_int_eq(apply(SERVICE_A SERVICE_B), HT_CTL_DONE);
	ck_assert_int_eq(apply(SERVICE_A SERVICE_B TARGET_B), HT_CTL_USAGE);
	ck_assert_ptr_nonnull(strstr(out, "taken from service 'a' less than 60 s ago"));
	ck_assert_int_eq(run("check", file, NULL), HT_CTL_USAGE);
	ck_assert_int_eq(head_number("version"), 2);
	ck_assert_int_eq(apply(SERVICE_A TARGET_A SERVICE_B), HT_CTL_DONE);
}
END_TEST

/* Guards against a stale instance that sends requests of service a to an address now of b. */
START_TEST(address_in_use_at_an_instance)
{
	char id[17];

	snprintf(id, sizeof(id), "%016lx", (unsigned long)ht_hash_str("127.0.2.1:1"));
	add_instance(&one, "p1", 0);
	json_object_set_new(json_array_get(json_object_get(one.status, "targets"), 0), "id",
			    json_string(id));
	ck_assert_int_eq(apply(SERVICE_B TARGET_B), HT_CTL_USAGE);
	ck_assert_ptr_nonnull(strstr(out, "instance 'p1' still uses the address of target 'b1'"));
	ck_assert_int_eq(apply(SERVICE_A TARGET_A), HT_CTL_DONE);
}
END_TEST

static void write_as_other(struct fake *f)
{
	json_t *value = json_deep_copy(head_value());

	json_object_set_new(value, "version", json_integer(head_number("version") + 1));
	json_object_set_new(value, "change_id", json_string("other"));
	json_object_set_new(value, "changes", json_pack("[s]", "other"));
	fake_put(f, "config/head", value, 0);
}

/* Guards against the loss of another operator's change. */
START_TEST(race_is_lost_with_difference)
{
	char *text;

	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_DONE);
	platform.before_write = write_as_other;
	ck_assert_int_eq(apply(SERVICE_A TARGET_A), HT_CTL_LOST);
	ck_assert_ptr_nonnull(strstr(out, "+" TARGET_A));
	ck_assert_str_eq(json_string_value(json_object_get(head_value(), "change_id")), "other");
	ck_assert(g_file_get_contents(file, &text, NULL, NULL));
	ck_assert_str_eq(text, SERVICE_A TARGET_A);
	g_free(text);
	/* The other operator's change came before this file was applied, but after it was read. */
	ck_assert_int_eq(apply("# base version 1\n" SERVICE_A TARGET_A), HT_CTL_LOST);
	ck_assert_int_eq(head_number("version"), 2);
	ck_assert_int_eq(apply("# base version 2\n" SERVICE_A TARGET_A), HT_CTL_DONE);
}
END_TEST

/* Guards against a change that is reported as failed, or made twice, after a lost answer. */
START_TEST(lost_answers_are_settled)
{
	platform.lose_answers = 1;
	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 1);
	platform.lose_writes = 1;
	ck_assert_int_eq(apply(SERVICE_A TARGET_A), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 2);
	/* The write was lost, and another operator's change came in before the reading back. */
	platform.lose_writes = 1;
	platform.before_write = write_as_other;
	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_LOST);
	ck_assert_int_eq(head_number("version"), 3);
}
END_TEST

static void supersede(struct fake *f)
{
	json_t *value = json_deep_copy(head_value());

	json_object_set_new(value, "version", json_integer(head_number("version") + 1));
	json_object_set_new(value, "change_id", json_string("other"));
	json_array_insert_new(json_object_get(value, "changes"), 0, json_string("other"));
	fake_put(f, "config/head", value, 0);
}

/* Guards against an accepted change that is reported as lost because the next one hides it. */
START_TEST(lost_answer_of_superseded_change)
{
	platform.lose_answers = 1;
	platform.after_write = supersede;
	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_DONE);
	ck_assert_ptr_nonnull(strstr(out, "applied: version 1"));
	ck_assert_int_eq(head_number("version"), 2);
	ck_assert_int_eq(apply(SERVICE_A TARGET_A), HT_CTL_DONE);
	ck_assert_uint_eq(json_array_size(json_object_get(head_value(), "changes")), 3);
}
END_TEST

static void go_down(struct fake *f)
{
	f->lose_writes = 1;
	f->down = 1;
}

/* Guards against a guess when the platform answers neither the write nor the reads. */
START_TEST(platform_down)
{
	platform.down = 1;
	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_FAILED);
	ck_assert_ptr_nonnull(strstr(out, "nothing was changed"));
	ck_assert_int_eq(run("status", NULL), HT_CTL_FAILED);
	platform.down = 0;
	platform.before_write = go_down;
	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_UNKNOWN);
	ck_assert_ptr_nonnull(strstr(out, "outcome not known"));
	platform.down = 0;
	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 1);
}
END_TEST

/* Guards against a version that instances ignore because they work by a higher one. */
START_TEST(restored_older_version)
{
	add_instance(&one, "p1", 7);
	add_instance(&two, "p2", 9);
	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 10);
	/* Also where only a relay's status names the version in force. */
	fake_put(&platform, "status/d",
		 json_pack("{sis{si}}", "config_version", 11, "instances", "p3", 14), 0);
	ck_assert_int_eq(apply(SERVICE_A), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 15);
}
END_TEST

START_TEST(drain_adds_a_rule)
{
	ck_assert_int_eq(apply(SERVICE_A TARGET_A), HT_CTL_DONE);
	ck_assert_int_eq(run("drain", "a", "a1", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(run("drain", "a", "a9", "--comment", "Ines", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(run("drain", "a", "a1", "--comment", "x\ndrain", NULL), HT_CTL_USAGE);
	/* Another change in between does not make an operator type the command again. */
	platform.before_write = write_as_other;
	ck_assert_int_eq(run("drain", "a", "a1", "--comment", "Ines: disk", NULL), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 3);
	ck_assert_int_eq(run("show", NULL), HT_CTL_DONE);
	ck_assert_ptr_nonnull(strstr(out, TARGET_A "drain a a1 # Ines: disk\n"));
	ck_assert_int_eq(run("drain", "a", "a1", "--comment", "again", NULL), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 3);
}
END_TEST

/* An operator is told which service would have no target left. */
START_TEST(evacuation_of_the_last_targets_is_refused)
{
	ck_assert_int_eq(apply(SERVICE_A TARGET_A), HT_CTL_DONE);
	ck_assert_int_eq(run("evacuate", "d", "--comment", "Ines", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(head_number("version"), 1);
}
END_TEST

START_TEST(evacuation_adds_a_rule_for_each_service_there_and_takes_them_back)
{
	ck_assert_int_eq(apply(SERVICE_A TARGET_A TARGET_A2 SERVICE_B), HT_CTL_DONE);
	ck_assert_int_eq(run("evacuate", "d", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(run("evacuate", "d #", "--comment", "Ines", NULL), HT_CTL_USAGE);
	platform.before_write = write_as_other;
	ck_assert_int_eq(run("evacuate", "d", "--comment", "Ines: power", NULL), HT_CTL_DONE);
	ck_assert_int_eq(run("show", NULL), HT_CTL_DONE);
	ck_assert_ptr_nonnull(strstr(out, "evacuate a d # Ines: power\n"));
	ck_assert_ptr_null(strstr(out, "evacuate b "));
	ck_assert_int_eq(head_number("version"), 3);
	/* Nothing is added twice. */
	ck_assert_int_eq(run("evacuate", "d", "--comment", "again", NULL), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 3);
	ck_assert_int_eq(run("end-evacuation", "d", NULL), HT_CTL_DONE);
	ck_assert_int_eq(head_number("version"), 4);
	ck_assert_int_eq(run("show", NULL), HT_CTL_DONE);
	ck_assert_ptr_null(strstr(out, "evacuate"));
	ck_assert_ptr_nonnull(strstr(out, TARGET_A));
}
END_TEST

START_TEST(status_sums_and_names_the_missing)
{
	json_t *root;

	add_instance(&one, "p1", 1);
	add_instance(&two, "p2", 1);
	ck_assert_int_eq(run("status", NULL), HT_CTL_DONE);
	ck_assert_ptr_nonnull(strstr(out, "forwards_sent                          10"));
	json_array_append_new(platform.instances,
			      json_pack("{ssssssss}", "name", "p3", "data_centre", "d",
					"admin_address", "127.0.0.1:1", "state", "live"));
	ck_assert_int_eq(run("status", NULL), HT_CTL_PARTIAL);
	ck_assert_ptr_nonnull(strstr(out, "not reached: p3 in d at 127.0.0.1:1"));
	ck_assert_int_eq(run("status", "--json", NULL), HT_CTL_PARTIAL);
	root = json_loads(out, 0, NULL);
	ck_assert_uint_eq(json_array_size(json_object_get(root, "instances")), 2);
	ck_assert_uint_eq(json_array_size(json_object_get(root, "not_reached")), 1);
	json_decref(root);
	/* With the platform down, instances can be named. */
	platform.down = 1;
	ck_assert_int_eq(run("status", "--admin", one.addr, NULL), HT_CTL_DONE);
	ck_assert_ptr_nonnull(strstr(out, "not read"));
}
END_TEST

static json_t *ring(const char *process, const char *first, const char *second)
{
	return json_pack("{sssis[{ssssssssss}{sssisssssssssssssssssi}]}", "process", process,
			 "lost", 3, "events", "clock", first, "name", "FIRST", "target",
			 "00000000000000aa", "flow", "", "detail", "x=1", "clock", second, "number",
			 1001, "name", "SECOND", "level", "notice", "flow", "00000000000000bb",
			 "request", "", "target", "", "instance", "", "detail", "", "d2", "", "x",
			 0);
}

/* Guards against an effect that is shown before its cause, and clocks that lose their low bits. */
START_TEST(timeline_merges_by_clock)
{
	const char *a, *b, *c, *d;

	add_instance(&one, "p1", 1);
	add_instance(&two, "p2", 1);
	one.timeline = ring("p1", "116500000000000001", "116500000000000003");
	two.timeline = ring("p2", "116500000000000002", "116500000000000004");
	ck_assert_ptr_nonnull(one.timeline);
	ck_assert_int_eq(run("timeline", NULL), HT_CTL_DONE);
	a = strstr(out, "p1 ");
	b = strstr(out, "p2 ");
	ck_assert(a && b && a < b);
	c = strstr(b, "p1 ");
	ck_assert_ptr_nonnull(c);
	d = strstr(c, "p2 ");
	ck_assert_ptr_nonnull(d);
	ck_assert_ptr_nonnull(strstr(out, "p1: 3 older events are no longer held"));
	ck_assert_int_eq(run("timeline", "--flow", "00000000000000BB", NULL), HT_CTL_DONE);
	ck_assert_ptr_null(strstr(out, "FIRST"));
	ck_assert_int_eq(run("timeline", "--target", "00000000000000aa", "--instance", "p2", NULL),
			 HT_CTL_DONE);
	ck_assert_ptr_null(strstr(out, "SECOND"));
	ck_assert_ptr_null(strstr(out, "p1   "));
	ck_assert_int_eq(run("timeline", "--number", "1001", NULL), HT_CTL_DONE);
	ck_assert_ptr_null(strstr(out, "FIRST"));
	ck_assert_int_eq(run("timeline", "--flow", "bb", NULL), HT_CTL_USAGE);
	json_decref(two.timeline);
	two.timeline = NULL;
	ck_assert_int_eq(run("timeline", NULL), HT_CTL_PARTIAL);
	ck_assert_ptr_nonnull(strstr(out, "not reached: p2"));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("ctl");
	TCase *tc = tcase_create("ctl");
	SRunner *runner;
	int failed;

	/* Settling an unknown outcome takes 6.3 s of pauses. */
	tcase_set_timeout(tc, 40);
	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, apply_show_and_diff);
	tcase_add_test(tc, bad_input_changes_nothing);
	tcase_add_test(tc, address_is_not_moved_at_once);
	tcase_add_test(tc, address_in_use_at_an_instance);
	tcase_add_test(tc, race_is_lost_with_difference);
	tcase_add_test(tc, lost_answers_are_settled);
	tcase_add_test(tc, lost_answer_of_superseded_change);
	tcase_add_test(tc, platform_down);
	tcase_add_test(tc, restored_older_version);
	tcase_add_test(tc, drain_adds_a_rule);
	tcase_add_test(tc, evacuation_of_the_last_targets_is_refused);
	tcase_add_test(tc, evacuation_adds_a_rule_for_each_service_there_and_takes_them_back);
	tcase_add_test(tc, status_sums_and_names_the_missing);
	tcase_add_test(tc, timeline_merges_by_clock);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
