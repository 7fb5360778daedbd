/* Tests of the caller side: real datagrams over loopback, a recorder in place of the core. */
#include "daemon/caller.h"
#include "daemon/caller_message.h"
#include "tests/daemon/rig.h"

#include <arpa/inet.h>
#include <check.h>
#include <coap3/coap.h>
#include <stdlib.h>

struct seen {
	int requests;
	bool refuse; /* answers at once */
	uint64_t handle;
	struct ht_request req;
	char path[64], query[64];
};

static struct ev_loop *loop;
static struct ht_log logs;
static struct ht_counters counters;
static struct ht_caller *caller;
static struct seen seen;
static char address[HT_ADDR_TEXT];
static int sock;

static void on_request(void *ctx, uint64_t handle, const struct ht_request *req)
{
	(void)ctx;
	seen.requests++;
	seen.handle = handle;
	seen.req = *req;
	snprintf(seen.path, sizeof(seen.path), "%s", req->path);
	snprintf(seen.query, sizeof(seen.query), "%s", req->query);
	if (seen.refuse)
		ck_assert(ht_caller_answer(caller, handle,
					   &(struct ht_answer){.code = HT_SERVICE_UNAVAILABLE}));
}

static const struct ht_caller_ops ops = {.request = on_request};

static void configure(const char *at)
{
	struct ht_config *cfg = ht_config_new(1, "", "");
	struct ht_service_conf svc = {.name = "almacen", .region = "r"};
	struct ht_service_conf other = {.name = "comptoir", .region = "elsewhere"};

	if (at) {
		ck_assert(ht_addr_parse(&svc.addr, at, NULL));
		ck_assert(ht_config_add_service(cfg, &svc));
	}
	/* The address cannot be bound here, and must not be tried: another region's. */
	ck_assert(ht_addr_parse(&other.addr, "192.0.2.1:5683", NULL));
	ck_assert(ht_config_add_service(cfg, &other));
	ck_assert(ht_config_seal(cfg, NULL));
	ht_caller_configure(caller, cfg);
	ht_config_put(cfg);
}

static void open_socket(void)
{
	struct ht_addr to;

	ck_assert(ht_addr_parse(&to, address, NULL));
	sock = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	ck_assert_int_eq(connect(sock, (struct sockaddr *)&to.ss, to.len), 0);
}

static void set_up(void)
{
	struct ht_caller_params params = {
		.loop = loop,
		.ops = &ops,
		.log = &logs,
		.counters = &counters,
		.region = "r",
	};

	memset(&seen, 0, sizeof(seen));
	memset(&counters, 0, sizeof(counters));
	rig_address(address, SOCK_DGRAM);
	caller = ht_caller_new(&params, NULL);
	ck_assert(caller != NULL);
	configure(address);
	open_socket();
}

static void tear_down(void)
{
	close(sock);
	ht_caller_free(caller);
}

static void send_bytes(const void *data, size_t len)
{
	ck_assert_int_eq(send(sock, data, len, 0), (ssize_t)len);
}

/* Waits for one datagram and parses it; NULL when none comes. */
static coap_pdu_t *receive(void)
{
	uint8_t data[2048];
	ssize_t n = -1;
	coap_pdu_t *pdu;

	for (int i = 0; i < 40 && n < 0; i++) {
		rig_pass(loop, 10);
		n = recv(sock, data, sizeof(data), 0);
	}
	if (n < 0)
		return NULL;
	pdu = coap_pdu_init(0, 0, 0, sizeof(data));
	ck_assert(coap_pdu_parse(COAP_PROTO_UDP, data, (size_t)n, pdu));
	return pdu;
}

static uint32_t uint_option(const coap_pdu_t *pdu, uint16_t number)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt = coap_check_option(pdu, number, &it);

	ck_assert_msg(opt != NULL, "option %u", number);
	return coap_decode_var_bytes(coap_opt_value(opt), coap_opt_length(opt));
}

/* CON GET, message id 0x1234, token "ab". */
#define HEAD 0x42, 0x01, 0x12, 0x34, 'a', 'b'

START_TEST(request_reaches_the_core_whole)
{
	/* Uri-Path "stock" and "7", Uri-Query "id=9", Block2 2/0/64, deadline 1500 ms. */
	static const uint8_t get[] = {HEAD, 0xb5, 's',	't',  'o',  'c',  'k',
				      0x01, '7',  0x44, 'i',  'd',  '=',  '9',
				      0x81, 0x22, 0xe2, 0xfc, 0xc4, 0x05, 0xdc};
	coap_pdu_t *pdu;

	set_up();
	send_bytes(get, sizeof(get));
	pdu = receive();
	ck_assert(pdu != NULL);
	/* The empty acknowledgement: the answer follows on its own. */
	ck_assert_int_eq(coap_pdu_get_type(pdu), COAP_MESSAGE_ACK);
	ck_assert_int_eq(coap_pdu_get_code(pdu), COAP_EMPTY_CODE);
	ck_assert_int_eq(coap_pdu_get_mid(pdu), 0x1234);
	coap_delete_pdu(pdu);
	ck_assert_int_eq(seen.requests, 1);
	ck_assert_str_eq(seen.path, "stock/7");
	ck_assert_str_eq(seen.query, "id=9");
	ck_assert_int_eq(seen.req.method, HT_GET);
	ck_assert_int_eq(seen.req.deadline, 1500);
	ck_assert(seen.req.has_block);
	ck_assert_uint_eq(seen.req.block_num, 2);
	ck_assert_uint_eq(seen.req.block_szx, 2);
	ck_assert_uint_eq(seen.req.token_len, 2);
	ck_assert(!seen.req.cancel && !seen.req.has_ticket);
	tear_down();
}
END_TEST

/* Guards against answers that lose their token, verdict, time to come back, ticket or block. */
START_TEST(answer_goes_out_whole)
{
	static const uint8_t get[] = {HEAD, 0xb1, 'x'};
	struct ht_answer ans = {
		.code = HT_CONTENT,
		.verdict = HT_RAN,
		.retry_after = 1200,
		.payload = (const uint8_t *)"hello",
		.payload_len = 5,
		.has_ticket = true,
		.has_block = true,
		.block_num = 3,
		.block_szx = 6,
		.block_more = true,
		.etag = {1, 2, 3, 4},
		.etag_len = 4,
	};
	coap_opt_iterator_t it;
	const uint8_t *data;
	coap_pdu_t *pdu;
	size_t len;

	set_up();
	send_bytes(get, sizeof(get));
	coap_delete_pdu(receive());
	ck_assert(ht_caller_answer(caller, seen.handle, &ans));
	ck_assert_msg(!ht_caller_answer(caller, seen.handle, &ans), "answered twice");
	pdu = receive();
	ck_assert(pdu != NULL);
	ck_assert_int_eq(coap_pdu_get_type(pdu), COAP_MESSAGE_NON);
	ck_assert_int_eq((int)coap_pdu_get_code(pdu), HT_CONTENT);
	ck_assert_uint_eq(coap_pdu_get_token(pdu).length, 2);
	ck_assert_mem_eq(coap_pdu_get_token(pdu).s, "ab", 2);
	ck_assert_uint_eq(uint_option(pdu, HT_OPTION_VERDICT), HT_RAN);
	ck_assert_uint_eq(uint_option(pdu, COAP_OPTION_MAXAGE), 2);
	ck_assert_uint_eq(uint_option(pdu, COAP_OPTION_BLOCK2), 3 << 4 | 8 | 6);
	ck_assert_uint_eq(uint_option(pdu, COAP_OPTION_ETAG), 0x01020304);
	ck_assert_uint_eq(coap_opt_length(coap_check_option(pdu, 252, &it)), HT_TICKET_LEN);
	ck_assert(coap_get_data(pdu, &len, &data));
	ck_assert_uint_eq(len, 5);
	coap_delete_pdu(pdu);
	ck_assert_uint_eq(ht_caller_pending(caller), 0);
	tear_down();
}
END_TEST

START_TEST(cancellation_names_the_other_token)
{
	/* Cancel option 65001 with the value "xyz". */
	static const uint8_t cancel[] = {HEAD, 0xe3, 0xfc, 0xdc, 'x', 'y', 'z'};

	set_up();
	send_bytes(cancel, sizeof(cancel));
	ck_assert(rig_run(loop, &seen.requests, 1, 500));
	ck_assert(seen.req.cancel);
	ck_assert_uint_eq(seen.req.token_len, 3);
	ck_assert_mem_eq(seen.req.token, "xyz", 3);
	tear_down();
}
END_TEST

/* Guards against libcoap answering this path in place of the target. */
START_TEST(well_known_path_goes_to_the_target)
{
	static const uint8_t get[] = {HEAD, 0xbb, '.', 'w', 'e',  'l', 'l', '-', 'k',
				      'n',  'o',  'w', 'n', 0x04, 'c', 'o', 'r', 'e'};

	set_up();
	send_bytes(get, sizeof(get));
	ck_assert(rig_run(loop, &seen.requests, 1, 500));
	ck_assert_str_eq(seen.path, ".well-known/core");
	tear_down();
}
END_TEST

/* Guards against options of a wrong length that are taken for a value. */
START_TEST(bad_options_are_refused_not_run)
{
	/* Deadline of 5 bytes; a cancelled token of 9 bytes; Block2 with the reserved size. */
	static const uint8_t deadline[] = {HEAD, 0xe5, 0xfc, 0xdb, 1, 2, 3, 4, 5};
	static const uint8_t token[] = {HEAD, 0xe9, 0xfc, 0xdc, 1, 2, 3, 4, 5, 6, 7, 8, 9};
	static const uint8_t block[] = {HEAD, 0xd1, 0x0a, 0x07};
	static const struct {
		const uint8_t *data;
		size_t len;
	} bad[] = {{deadline, sizeof(deadline)}, {token, sizeof(token)}, {block, sizeof(block)}};

	set_up();
	for (size_t i = 0; i < 3; i++) {
		coap_pdu_t *pdu;

		send_bytes(bad[i].data, bad[i].len);
		pdu = receive();
		ck_assert(pdu != NULL);
		ck_assert_int_eq(coap_pdu_get_code(pdu), COAP_RESPONSE_CODE_BAD_OPTION);
		ck_assert_uint_eq(uint_option(pdu, HT_OPTION_VERDICT), HT_NOT_RUN);
		coap_delete_pdu(pdu);
	}
	ck_assert_int_eq(seen.requests, 0);
	ck_assert_uint_eq(counters.values[HT_C_datagrams_malformed], 3);
	tear_down();
}
END_TEST

/* Guards against datagrams that stop the instance, or that are dropped without being counted. */
START_TEST(malformed_datagrams_are_counted)
{
	static const uint8_t get[] = {HEAD, 0xb1, 'x'};
	static const uint8_t truncated[] = {HEAD, 0xb9, 'x'};
	static const uint8_t long_token[] = {0x4f, 0x01, 0x12, 0x34, 1, 2, 3};
	static const uint8_t marker[] = {HEAD, 0xff};
	uint8_t data[64] = {0};

	set_up();
	seen.refuse = true;
	send_bytes(truncated, sizeof(truncated));
	send_bytes(long_token, sizeof(long_token));
	send_bytes(marker, sizeof(marker));
	rig_pass(loop, 100);
	ck_assert_uint_eq(counters.values[HT_C_datagrams_malformed], 3);
	ck_assert_int_eq(rig_events(&logs, HT_EV_DATAGRAM_MALFORMED), 1);
	srandom(20261204);
	for (int i = 0; i < 20000; i++) {
		size_t len = (size_t)random() % sizeof(data);

		for (size_t j = 0; j < len; j++)
			data[j] = (uint8_t)random();
		if (i & 1)
			data[0] = (uint8_t)(0x40 | data[0] % 9);
		if (i & 2)
			data[1] = (uint8_t)(1 + data[1] % 4);
		send_bytes(data, len);
		if (i % 20)
			continue;
		rig_pass(loop, 2);
		/* Another caller, so that sessions are replaced too. */
		close(sock);
		open_socket();
	}
	rig_pass(loop, 200);
	seen.requests = 0;
	send_bytes(get, sizeof(get));
	ck_assert(rig_run(loop, &seen.requests, 1, 500));
	tear_down();
}
END_TEST

/* Guards against a removed service that still takes requests, and against a caller that loses
 * the answer to an open request when its service is removed. */
START_TEST(removed_service_finishes_open_requests)
{
	static const uint8_t get[] = {HEAD, 0xb1, 'x'};
	struct ht_answer ans = {.code = HT_CONTENT, .verdict = HT_RAN};
	coap_pdu_t *pdu;

	set_up();
	send_bytes(get, sizeof(get));
	coap_delete_pdu(receive());
	configure(NULL);
	rig_pass(loop, 100);
	send_bytes(get, sizeof(get));
	pdu = receive();
	ck_assert(pdu != NULL);
	ck_assert_int_eq((int)coap_pdu_get_code(pdu), HT_SERVICE_UNAVAILABLE);
	coap_delete_pdu(pdu);
	ck_assert_int_eq(seen.requests, 1);
	ck_assert(ht_caller_answer(caller, seen.handle, &ans));
	pdu = receive();
	ck_assert(pdu != NULL);
	ck_assert_int_eq((int)coap_pdu_get_code(pdu), HT_CONTENT);
	coap_delete_pdu(pdu);
	rig_pass(loop, 100);
	ck_assert_int_eq(rig_events(&logs, HT_EV_SERVICE_CLOSED), 1);
	tear_down();
}
END_TEST

/* Guards against signalling codes, which only connections know, that cut off a caller: libcoap
 * takes them from datagrams too, answers a ping by a retransmitted pong and drops a session on
 * abort. */
START_TEST(signals_in_datagrams_are_dropped)
{
	static const uint8_t get[] = {HEAD, 0xb1, 'x'};
	static const uint8_t ping[] = {0x40, 0xe2, 0x00, 0x01};
	static const uint8_t abort_[] = {0x40, 0xe5, 0x00, 0x02};
	struct ht_answer ans = {.code = HT_CONTENT, .verdict = HT_RAN};
	coap_pdu_t *pdu;

	set_up();
	send_bytes(ping, sizeof(ping));
	ck_assert(receive() == NULL);
	send_bytes(abort_, sizeof(abort_));
	rig_pass(loop, 20);
	send_bytes(get, sizeof(get));
	coap_delete_pdu(receive());
	ck_assert_int_eq(seen.requests, 1);
	ck_assert(ht_caller_answer(caller, seen.handle, &ans));
	pdu = receive();
	ck_assert_msg(pdu != NULL, "no answer after an abort");
	ck_assert_int_eq((int)coap_pdu_get_code(pdu), HT_CONTENT);
	coap_delete_pdu(pdu);
	tear_down();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("caller");
	TCase *tc = tcase_create("caller");
	SRunner *runner;
	int failed;

	coap_startup();
	loop = ev_default_loop(0);
	rig_log_init(&logs);
	tcase_set_timeout(tc, 30);
	/* Counts events of the shared ring, so it comes first. */
	tcase_add_test(tc, removed_service_finishes_open_requests);
	tcase_add_test(tc, malformed_datagrams_are_counted);
	tcase_add_test(tc, signals_in_datagrams_are_dropped);
	tcase_add_test(tc, request_reaches_the_core_whole);
	tcase_add_test(tc, answer_goes_out_whole);
	tcase_add_test(tc, cancellation_names_the_other_token);
	tcase_add_test(tc, well_known_path_goes_to_the_target);
	tcase_add_test(tc, bad_options_are_refused_not_run);
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
