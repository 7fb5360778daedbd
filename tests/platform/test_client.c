/* Tests of the platform client against a small HTTP server. */
#include "platform/client.h"
#include "tests/platform/fake_platform.h"

#include <ev.h>

static struct fake fake;
static struct ht_platform *client;
static struct ht_platform_result res;
static int events[8];
static int event_count;

static void on_event(void *ctx, const struct ht_event *ev)
{
	(void)ctx;
	if (event_count < 8)
		events[event_count++] = ev->number;
}

static void start(void)
{
	fake_start(&fake);
	client = ht_platform_new(NULL, fake.addr, on_event, NULL, NULL);
	ck_assert_ptr_nonnull(client);
}

static void stop(void)
{
	ht_platform_result_clear(&res);
	ht_platform_free(client);
	fake_stop(&fake);
}

static enum ht_err_code read_object(const char *name)
{
	ht_platform_result_clear(&res);
	ht_platform_read_wait(client, name, 2000, &res);
	return res.err.code;
}

static enum ht_err_code write_object(const char *name, uint64_t version, const char *value)
{
	ht_platform_result_clear(&res);
	ht_platform_write_wait(client, name, version, value, 1000, &res);
	return res.err.code;
}

START_TEST(reads_and_conditional_writes)
{
	ck_assert_int_eq(read_object("config/head"), HT_ENOTFOUND);
	ck_assert_int_eq(write_object("config/head", 0, "{\"a\":1}"), HT_OK);
	ck_assert_uint_eq(res.version, 1);
	ck_assert_int_eq(read_object("config/head"), HT_OK);
	ck_assert_str_eq(res.value, "{\"a\":1}");
	ck_assert_int_gt(res.date, 1700000000000);
	/* Guards against an operator's write over a newer one. */
	ck_assert_int_eq(write_object("config/head", 0, "{\"a\":2}"), HT_ECONFLICT);
	ck_assert_uint_eq(res.version, 1);
	ck_assert_str_eq(res.value, "{\"a\":1}");
	ck_assert_int_eq(write_object("config/head", 1, "{\"a\":2}"), HT_OK);
	ck_assert_uint_eq(res.version, 2);
	ck_assert_int_eq(read_object("../secret?x"), HT_EINVAL);
}
END_TEST

/* Guards against a lost answer that is taken for a write that was not made, and the reverse. */
START_TEST(lost_answer_is_unknown)
{
	fake.lose_answers = 1;
	ck_assert_int_eq(write_object("config/head", 0, "1"), HT_EUNKNOWN);
	ck_assert_int_eq(fake.writes, 1);
	ck_assert_int_eq(read_object("config/head"), HT_OK);
	fake.lose_writes = 1;
	ck_assert_int_eq(write_object("config/head", 1, "2"), HT_EUNKNOWN);
	ck_assert_int_eq(fake.writes, 2);
	fake.down = 1;
	ck_assert_int_eq(write_object("config/head", 1, "2"), HT_EUNKNOWN);
	ck_assert_int_eq(read_object("config/head"), HT_EIO);
}
END_TEST

/* Guards against an unreachable platform that leaves a provably unmade write unknown. */
START_TEST(refused_connection_is_not_written)
{
	char gone[32];

	snprintf(gone, sizeof(gone), "%s", fake.addr);
	ht_platform_free(client);
	fake_stop(&fake);
	client = ht_platform_new(NULL, gone, on_event, NULL, NULL);
	ck_assert_int_eq(write_object("config/head", 0, "1"), HT_EIO);
	ck_assert_int_eq(read_object("config/head"), HT_EIO);
	ck_assert_int_eq(event_count, 1);
	ck_assert_int_eq(events[0], HT_EV_PLATFORM_UNREACHABLE);
	fake_start(&fake);
}
END_TEST

/* Guards against one log line per call during an outage. */
START_TEST(outage_is_logged_once)
{
	read_object("x");
	fake.down = 1;
	read_object("x");
	read_object("x");
	fake.down = 0;
	read_object("x");
	ck_assert_int_eq(event_count, 2);
	ck_assert_int_eq(events[0], HT_EV_PLATFORM_UNREACHABLE);
	ck_assert_int_eq(events[1], HT_EV_PLATFORM_REACHABLE);
}
END_TEST

struct seen {
	int calls;
	bool unchanged;
	uint64_t version;
	struct ht_platform *free_it;
};

static void on_watch(void *ctx, const struct ht_platform_reply *reply)
{
	struct seen *seen = ctx;

	seen->calls++;
	seen->unchanged = reply->unchanged;
	seen->version = reply->version;
	if (seen->free_it)
		ht_platform_free(seen->free_it);
}

static void run_until(struct ev_loop *loop, const struct seen *seen, int calls)
{
	for (int i = 0; i < 1000 && seen->calls < calls; i++)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_int_eq(seen->calls, calls);
}

START_TEST(watch_ends_with_change_or_time)
{
	struct ev_loop *loop = ht_platform_loop(client);
	struct seen seen = {0};

	write_object("config/head", 0, "1");
	ht_platform_watch(client, "config/head", 1, 100, on_watch, &seen);
	run_until(loop, &seen, 1);
	ck_assert(seen.unchanged);
	ht_platform_watch(client, "config/head", 1, 5000, on_watch, &seen);
	write_object("config/head", 1, "2");
	run_until(loop, &seen, 2);
	ck_assert(!seen.unchanged);
	ck_assert_uint_eq(seen.version, 2);
}
END_TEST

/* Guards against callbacks after a cancel, and against use of a client that a callback freed. */
START_TEST(cancel_and_free_within_callback)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct seen seen = {0}, none = {0};
	struct ht_platform *p = ht_platform_new(loop, fake.addr, NULL, NULL, NULL);

	seen.free_it = p;
	ht_platform_cancel(ht_platform_read(p, "x", 1000, on_watch, &none));
	ht_platform_read(p, "x", 1000, on_watch, &seen);
	ht_platform_watch(p, "y", 0, 5000, on_watch, &none);
	run_until(loop, &seen, 1);
	for (int i = 0; i < 10; i++)
		ev_run(loop, EVRUN_NOWAIT);
	ev_loop_destroy(loop);
}
END_TEST

START_TEST(reads_the_list_of_instances)
{
	struct ht_platform_instance *list;

	json_array_append_new(fake.instances,
			      json_pack("{ssssssssss sf ss}", "name", "p1", "data_centre", "salto",
					"peer_address", "127.0.0.1:1", "admin_address",
					"127.0.0.1:2", "bind_ip", "127.0.0.1", "size", 2.5, "state",
					"leaving"));
	ck_assert(ht_platform_instances_wait(client, 1000, &res));
	ck_assert_int_eq(ht_platform_instances_parse(res.value, &list, NULL), 1);
	ck_assert_str_eq(list[0].name, "p1");
	ck_assert_str_eq(list[0].dc, "salto");
	ck_assert_str_eq(list[0].admin_address, "127.0.0.1:2");
	ck_assert(list[0].leaving && list[0].size == 2.5);
	free(list);
	ck_assert_int_eq(ht_platform_instances_parse("[{\"name\":\"../x\"}]", &list, NULL), -1);
	ck_assert_int_eq(ht_platform_instances_parse("{}", &list, NULL), -1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("client");
	TCase *tc = tcase_create("client");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, reads_and_conditional_writes);
	tcase_add_test(tc, lost_answer_is_unknown);
	tcase_add_test(tc, refused_connection_is_not_written);
	tcase_add_test(tc, outage_is_logged_once);
	tcase_add_test(tc, watch_ends_with_change_or_time);
	tcase_add_test(tc, cancel_and_free_within_callback);
	tcase_add_test(tc, reads_the_list_of_instances);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
