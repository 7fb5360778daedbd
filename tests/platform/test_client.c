/* Tests of the platform client against an HTTP server in the same process. */
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
	/* A write must not overwrite a newer version. */
	ck_assert_int_eq(write_object("config/head", 0, "{\"a\":2}"), HT_ECONFLICT);
	ck_assert_uint_eq(res.version, 1);
	ck_assert_str_eq(res.value, "{\"a\":1}");
	ck_assert_int_eq(write_object("config/head", 1, "{\"a\":2}"), HT_OK);
	ck_assert_uint_eq(res.version, 2);
	ck_assert_int_eq(read_object("../secret?x"), HT_EINVAL);
}
END_TEST

/*
 * After a lost response the client can't tell whether the write took effect: it must report neither
 * success nor failure.
 */
START_TEST(lost_response_makes_write_unknown)
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

/* A write that was never sent must fail with HT_EIO, not with the unknown outcome HT_EUNKNOWN. */
START_TEST(refused_connection_fails_write)
{
	char closed_addr[32];

	snprintf(closed_addr, sizeof(closed_addr), "%s", fake.addr);
	ht_platform_free(client);
	fake_stop(&fake);
	client = ht_platform_new(NULL, closed_addr, on_event, NULL, NULL);
	ck_assert_int_eq(write_object("config/head", 0, "1"), HT_EIO);
	ck_assert_int_eq(read_object("config/head"), HT_EIO);
	ck_assert_int_eq(event_count, 1);
	ck_assert_int_eq(events[0], HT_EV_PLATFORM_UNREACHABLE);
	fake_start(&fake);
}
END_TEST

/* An outage must not produce one log line per call. */
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

struct watch_result {
	int calls;
	bool unchanged;
	uint64_t version;
	struct ht_platform *to_free;
};

static void on_watch(void *ctx, const struct ht_platform_reply *reply)
{
	struct watch_result *w = ctx;

	w->calls++;
	w->unchanged = reply->unchanged;
	w->version = reply->version;
	if (w->to_free)
		ht_platform_free(w->to_free);
}

static void run_until(struct ev_loop *loop, const struct watch_result *w, int calls)
{
	for (int i = 0; i < 1000 && w->calls < calls; i++)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_int_eq(w->calls, calls);
}

START_TEST(watch_ends_with_change_or_timeout)
{
	struct ev_loop *loop = ht_platform_loop(client);
	struct watch_result w = {0};

	write_object("config/head", 0, "1");
	ht_platform_watch(client, "config/head", 1, 100, on_watch, &w);
	run_until(loop, &w, 1);
	ck_assert(w.unchanged);
	ht_platform_watch(client, "config/head", 1, 5000, on_watch, &w);
	write_object("config/head", 1, "2");
	run_until(loop, &w, 2);
	ck_assert(!w.unchanged);
	ck_assert_uint_eq(w.version, 2);
}
END_TEST

/* No callback may follow a cancel, and a client freed by a callback must not be used. */
START_TEST(cancel_then_free_in_callback)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct watch_result w = {0}, not_called = {0};
	struct ht_platform *p = ht_platform_new(loop, fake.addr, NULL, NULL, NULL);

	w.to_free = p;
	ht_platform_cancel(ht_platform_read(p, "x", 1000, on_watch, &not_called));
	ht_platform_read(p, "x", 1000, on_watch, &w);
	ht_platform_watch(p, "y", 0, 5000, on_watch, &not_called);
	run_until(loop, &w, 1);
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
	tcase_add_test(tc, lost_response_makes_write_unknown);
	tcase_add_test(tc, refused_connection_fails_write);
	tcase_add_test(tc, outage_is_logged_once);
	tcase_add_test(tc, watch_ends_with_change_or_timeout);
	tcase_add_test(tc, cancel_then_free_in_callback);
	tcase_add_test(tc, reads_the_list_of_instances);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
