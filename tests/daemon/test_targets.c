/* Tests of the target connections against a CoAP over TCP server in the same process. */
#include "daemon/caller_message.h"
#include "daemon/target_pool.h"
#include "tests/daemon/rig.h"

#include <check.h>
#include <coap3/coap.h>
#include <sodium.h>
#include <stdlib.h>

/* A target: answers /health, /echo, /busy and /leaving; /never gets no answer. */
struct fake {
	coap_context_t *coap;
	struct ev_timer tick;
	char address[HT_ADDR_TEXT];
	const char *health;
	int requests, cancels;
	char host[64];
	uint32_t deadline;
};

struct seen {
	int answers, states;
	struct ht_target_answer last;
	enum ht_target_state state;
};

static struct ev_loop *loop;
static struct ht_log logs;
static struct ht_counters counters;
static struct seen seen;

static void set_max_age(coap_pdu_t *res, uint32_t seconds)
{
	uint8_t buf[4];

	coap_add_option(res, COAP_OPTION_MAXAGE, coap_encode_var_safe(buf, 4, seconds), buf);
}

static void note(struct fake *f, const coap_pdu_t *req)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt = coap_check_option(req, COAP_OPTION_URI_HOST, &it);

	if (opt)
		snprintf(f->host, sizeof(f->host), "%.*s", (int)coap_opt_length(opt),
			 (const char *)coap_opt_value(opt));
	opt = coap_check_option(req, HT_OPTION_DEADLINE, &it);
	if (opt)
		f->deadline = coap_decode_var_bytes(coap_opt_value(opt), coap_opt_length(opt));
}

static void on_fake(coap_resource_t *r, coap_session_t *session, const coap_pdu_t *req,
		    const coap_string_t *query, coap_pdu_t *res)
{
	struct fake *f = coap_get_app_data(coap_session_get_context(session));
	coap_string_t *path = coap_get_uri_path(req);
	const char *p = path ? (const char *)path->s : "";
	coap_opt_iterator_t it;

	(void)r;
	(void)query;
	if (coap_check_option(req, HT_OPTION_CANCEL, &it)) {
		f->cancels++;
		coap_pdu_set_code(res, COAP_RESPONSE_CODE_DELETED);
	} else if (strcmp(p, "health") == 0) {
		coap_pdu_set_code(res, COAP_RESPONSE_CODE_CONTENT);
		coap_add_data(res, strlen(f->health), (const uint8_t *)f->health);
	} else if (strcmp(p, "busy") == 0 || strcmp(p, "leaving") == 0) {
		coap_pdu_set_code(res, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE);
		set_max_age(res, 3);
		if (*p == 'l')
			coap_add_data(res, 8, (const uint8_t *)"draining");
	} else {
		f->requests++;
		note(f, req);
		if (strcmp(p, "echo") == 0) {
			coap_pdu_set_code(res, COAP_RESPONSE_CODE_CONTENT);
			coap_add_data(res, 5, (const uint8_t *)"hello");
		}
	}
	coap_delete_string(path);
}

static void on_fake_tick(struct ev_loop *l, struct ev_timer *w, int revents)
{
	struct fake *f = w->data;

	(void)l;
	(void)revents;
	for (int i = 0; i < 8; i++)
		coap_io_process(f->coap, COAP_IO_NO_WAIT);
}

static void fake_start(struct fake *f, const char *address, const char *health)
{
	coap_resource_t *any = coap_resource_unknown_init(on_fake);
	struct ht_addr addr;
	coap_address_t at;

	memset(f, 0, sizeof(*f));
	snprintf(f->address, sizeof(f->address), "%s", address);
	f->health = health;
	f->coap = coap_new_context(NULL);
	coap_set_app_data(f->coap, f);
	coap_register_option(f->coap, HT_OPTION_CANCEL);
	coap_register_request_handler(any, COAP_REQUEST_GET, on_fake);
	coap_register_request_handler(any, COAP_REQUEST_POST, on_fake);
	coap_register_request_handler(any, COAP_REQUEST_DELETE, on_fake);
	coap_add_resource(f->coap, any);
	ck_assert(ht_addr_parse(&addr, address, NULL));
	coap_address_init(&at);
	at.size = addr.len;
	memcpy(&at.addr, &addr.ss, addr.len);
	ck_assert(coap_new_endpoint(f->coap, &at, COAP_PROTO_TCP) != NULL);
	ev_timer_init(&f->tick, on_fake_tick, 0.002, 0.002);
	f->tick.data = f;
	ev_timer_start(loop, &f->tick);
}

/* A frozen process: its connections stay open and nothing answers. */
static void fake_freeze(struct fake *f)
{
	ev_timer_stop(loop, &f->tick);
}

static void fake_stop(struct fake *f)
{
	ev_timer_stop(loop, &f->tick);
	coap_free_context(f->coap);
}

static void on_answer(void *ctx, const struct ht_target_answer *ans)
{
	(void)ctx;
	seen.answers++;
	seen.last = *ans;
}

static void on_state(void *ctx, uint64_t target, enum ht_target_state state)
{
	(void)ctx;
	ck_assert_uint_eq(target, 77);
	seen.states++;
	seen.state = state;
}

static const struct ht_target_pool_ops ops = {.answer = on_answer, .state = on_state};

static struct ht_target_pool *pool_start(const char *address, const char *service)
{
	struct ht_target_pool_params params = {
		.loop = loop, .ops = &ops, .log = &logs, .counters = &counters};
	struct ht_target_conf conf = {.id = 77, .slots = 3, .connections = 2000};
	struct ht_target_pool *pool = ht_target_pool_new(&params, NULL);

	ck_assert(pool != NULL);
	memset(&seen, 0, sizeof(seen));
	memset(&counters, 0, sizeof(counters));
	ck_assert(ht_addr_parse(&conf.addr, address, NULL));
	ht_target_pool_open(pool, &conf, service);
	return pool;
}

static void request(struct ht_target_pool *pool, uint64_t id, const char *path, ht_ms deadline)
{
	struct ht_target_request req = {
		.id = id,
		.target = 77,
		.service_name = "almacen",
		.method = HT_GET,
		.path = path,
		.query = "id=1",
		.deadline = deadline,
	};

	ht_target_pool_send(pool, &req);
}

#define OK_HEALTH "{\"service\": \"almacen\", \"state\": \"ok\", \"load\": 0.5}"

START_TEST(results_are_mapped)
{
	char address[HT_ADDR_TEXT];
	struct ht_target_pool *pool;
	struct fake f;

	rig_address(address, SOCK_STREAM);
	fake_start(&f, address, OK_HEALTH);
	pool = pool_start(address, "almacen");
	ck_assert(rig_run(loop, &seen.states, 1, 2000));
	ck_assert_int_eq(seen.state, HT_TARGET_UP);
	request(pool, 1, "echo", 1500);
	ck_assert(rig_run(loop, &seen.answers, 1, 1000));
	ck_assert_int_eq(seen.last.result, HT_TARGET_ANSWERED);
	ck_assert_int_eq(seen.last.code, HT_CONTENT);
	ck_assert_uint_eq(seen.last.payload_len, 5);
	ck_assert_str_eq(f.host, "almacen");
	ck_assert_uint_eq(f.deadline, 1500);
	request(pool, 2, "busy", 1000);
	ck_assert(rig_run(loop, &seen.answers, 2, 1000));
	ck_assert_int_eq(seen.last.result, HT_TARGET_REFUSED);
	ck_assert_int_eq(seen.last.retry_after, 3000);
	ck_assert(!seen.last.draining);
	request(pool, 3, "leaving", 1000);
	ck_assert(rig_run(loop, &seen.answers, 3, 1000));
	ck_assert_int_eq(seen.last.result, HT_TARGET_REFUSED);
	ck_assert(seen.last.draining);
	request(pool, 4, "never", 200);
	ck_assert(rig_run(loop, &seen.answers, 4, 1000));
	ck_assert_int_eq(seen.last.result, HT_TARGET_TIMEOUT);
	ck_assert_uint_eq(seen.last.id, 4);
	ht_target_pool_free(pool);
	fake_stop(&f);
}
END_TEST

/* Guards against a request that waits for ever on a connection that went silent. */
START_TEST(silence_is_found_within_the_promise)
{
	char address[HT_ADDR_TEXT];
	struct ht_target_pool *pool;
	struct fake f;
	ht_ms start;

	rig_address(address, SOCK_STREAM);
	fake_start(&f, address, OK_HEALTH);
	pool = pool_start(address, "almacen");
	ck_assert(rig_run(loop, &seen.states, 1, 2000));
	rig_pass(loop, 1200);
	ck_assert_uint_eq(counters.values[HT_C_silent_connections], 0);
	fake_freeze(&f);
	start = ht_clock_now(&ht_clock_monotonic);
	request(pool, 1, "echo", 5000);
	ck_assert(rig_run(loop, &seen.answers, 1, 3000));
	ck_assert_int_eq(seen.last.result, HT_TARGET_LOST);
	ck_assert_int_le(ht_clock_now(&ht_clock_monotonic) - start, 1500);
	ck_assert_uint_ge(counters.values[HT_C_silent_connections], 1);
	ht_target_pool_free(pool);
	fake_stop(&f);
}
END_TEST

/* Guards against requests lost for good when a target restarts. */
START_TEST(restart_is_followed)
{
	char address[HT_ADDR_TEXT];
	struct ht_target_pool *pool;
	struct fake f;

	rig_address(address, SOCK_STREAM);
	fake_start(&f, address, OK_HEALTH);
	pool = pool_start(address, "almacen");
	ck_assert(rig_run(loop, &seen.states, 1, 2000));
	request(pool, 1, "never", 5000);
	rig_pass(loop, 100);
	fake_stop(&f);
	ck_assert(rig_run(loop, &seen.answers, 1, 500));
	ck_assert_int_eq(seen.last.result, HT_TARGET_LOST);
	ck_assert(rig_run(loop, &seen.states, 2, 500));
	ck_assert_int_eq(seen.state, HT_TARGET_DOWN);
	request(pool, 2, "echo", 1000);
	ck_assert(rig_run(loop, &seen.answers, 2, 200));
	ck_assert_int_eq(seen.last.result, HT_TARGET_UNSENT);
	fake_start(&f, address, OK_HEALTH);
	ck_assert(rig_run(loop, &seen.states, 3, 2500));
	ck_assert_int_eq(seen.state, HT_TARGET_UP);
	request(pool, 3, "echo", 1000);
	ck_assert(rig_run(loop, &seen.answers, 3, 500));
	ck_assert_int_eq(seen.last.result, HT_TARGET_ANSWERED);
	ht_target_pool_free(pool);
	fake_stop(&f);
}
END_TEST

static int listen_at(const char *at)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct ht_addr addr;
	int on = 1;

	ck_assert(ht_addr_parse(&addr, at, NULL));
	ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), 0);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr.ss, addr.len), 0);
	ck_assert_int_eq(listen(fd, 64), 0);
	return fd;
}

/* Guards against a target that accepts and then says nothing, or says something else than CoAP,
 * being taken for a target that is still connecting. */
START_TEST(mute_and_babbling_targets_are_down)
{
	static const uint8_t garbage[] = "220 mail.example ESMTP\r\n\xff\xff\xff\xff\xff\xff\xff";
	char at[HT_ADDR_TEXT];
	struct ht_target_pool *pool;
	struct fake f;
	int fd, conn;

	rig_address(at, SOCK_STREAM);
	fd = listen_at(at);
	pool = pool_start(at, "almacen");
	ck_assert(rig_run(loop, &seen.states, 1, 1500));
	ck_assert_int_eq(seen.state, HT_TARGET_DOWN);
	for (int i = 0; i < 6; i++) {
		conn = accept(fd, NULL, NULL);
		ck_assert_int_ge(conn, 0);
		(void)send(conn, garbage, sizeof(garbage), MSG_NOSIGNAL);
		rig_pass(loop, 50);
		close(conn);
	}
	close(fd);
	fake_start(&f, at, OK_HEALTH);
	ck_assert(rig_run(loop, &seen.states, 2, 4000));
	ck_assert_int_eq(seen.state, HT_TARGET_UP);
	ht_target_pool_free(pool);
	fake_stop(&f);
}
END_TEST

/* Guards against requests of one service at a target of another. */
START_TEST(other_service_gets_nothing)
{
	char address[HT_ADDR_TEXT];
	struct ht_target_pool *pool;
	struct fake f;

	rig_address(address, SOCK_STREAM);
	fake_start(&f, address, OK_HEALTH);
	pool = pool_start(address, "taller-docs");
	ck_assert(rig_run(loop, &seen.states, 1, 2000));
	ck_assert_int_eq(seen.state, HT_TARGET_MISASSIGNED);
	request(pool, 1, "echo", 1000);
	ck_assert(rig_run(loop, &seen.answers, 1, 500));
	ck_assert_int_eq(seen.last.result, HT_TARGET_UNSENT);
	ck_assert_int_eq(f.requests, 0);
	ht_target_pool_free(pool);
	fake_stop(&f);
}
END_TEST

/* Guards against a leaving target that is noticed only by its refusals. */
START_TEST(draining_is_read_from_health)
{
	char address[HT_ADDR_TEXT];
	struct ht_target_pool *pool;
	struct fake f;

	rig_address(address, SOCK_STREAM);
	fake_start(&f, address, OK_HEALTH);
	pool = pool_start(address, "almacen");
	ck_assert(rig_run(loop, &seen.states, 1, 2000));
	f.health = "{\"service\": \"almacen\", \"state\": \"draining\"}";
	ck_assert(rig_run(loop, &seen.states, 2, 1500));
	ck_assert_int_eq(seen.state, HT_TARGET_DRAINING);
	ht_target_pool_free(pool);
	fake_stop(&f);
}
END_TEST

START_TEST(cancellation_reaches_the_target)
{
	char address[HT_ADDR_TEXT];
	struct ht_target_pool *pool;
	struct fake f;

	rig_address(address, SOCK_STREAM);
	fake_start(&f, address, OK_HEALTH);
	pool = pool_start(address, "almacen");
	ck_assert(rig_run(loop, &seen.states, 1, 2000));
	request(pool, 9, "never", 5000);
	ck_assert(rig_run(loop, &f.requests, 1, 500));
	ht_target_pool_cancel(pool, 77, 9);
	ck_assert(rig_run(loop, &f.cancels, 1, 500));
	ck_assert(rig_run(loop, &seen.answers, 1, 500));
	ck_assert_uint_eq(seen.last.id, 9);
	ck_assert_int_eq(seen.last.result, HT_TARGET_LOST);
	ht_target_pool_cancel(pool, 77, 9);
	rig_pass(loop, 100);
	ck_assert_int_eq(f.cancels, 1);
	ht_target_pool_free(pool);
	fake_stop(&f);
}
END_TEST

/* Guards against open requests that are dropped when ownership of a target ends. */
START_TEST(closing_lets_requests_finish)
{
	char address[HT_ADDR_TEXT];
	struct ht_target_pool *pool;
	struct fake f;

	rig_address(address, SOCK_STREAM);
	fake_start(&f, address, OK_HEALTH);
	pool = pool_start(address, "almacen");
	ck_assert(rig_run(loop, &seen.states, 1, 2000));
	request(pool, 1, "echo", 1000);
	ht_target_pool_close(pool, 77);
	ck_assert_ptr_null(ht_target_pool_state(pool, 77));
	ck_assert(rig_run(loop, &seen.answers, 1, 500));
	ck_assert_int_eq(seen.last.result, HT_TARGET_ANSWERED);
	request(pool, 2, "echo", 1000);
	ck_assert(rig_run(loop, &seen.answers, 2, 500));
	ck_assert_int_eq(seen.last.result, HT_TARGET_UNSENT);
	ht_target_pool_free(pool);
	fake_stop(&f);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("targets");
	TCase *tc = tcase_create("targets");
	SRunner *runner;
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	coap_startup();
	loop = ev_default_loop(0);
	rig_log_init(&logs);
	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, results_are_mapped);
	tcase_add_test(tc, silence_is_found_within_the_promise);
	tcase_add_test(tc, restart_is_followed);
	tcase_add_test(tc, mute_and_babbling_targets_are_down);
	tcase_add_test(tc, other_service_gets_nothing);
	tcase_add_test(tc, draining_is_read_from_health);
	tcase_add_test(tc, cancellation_reaches_the_target);
	tcase_add_test(tc, closing_lets_requests_finish);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	/* One process: libev's loop is not shared over fork(). */
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	ht_event_ring_free(logs.ring);
	ev_loop_destroy(loop);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
