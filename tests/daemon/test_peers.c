/* Tests of the links between instances: several in one process, over loopback. */
#include "base/hash.h"
#include "daemon/handshake.h"
#include "daemon/peers.h"
#include "tests/daemon/rig.h"
#include "wire/peer_frame.h"

#include <check.h>
#include <sodium.h>
#include <stdlib.h>

struct node {
	struct ht_peers *peers;
	struct ht_peers_params params;
	struct ht_log log;
	struct ht_counters counters;
	int ups, gone, silent, messages;
	uint64_t gone_incarnation;
};

static struct ev_loop *loop;

static void on_up(void *ctx, const struct ht_instance_info *info, uint64_t incarnation)
{
	struct node *n = ctx;

	ck_assert_uint_ne(incarnation, 0);
	ck_assert_str_ne(info->name, n->params.self.name);
	n->ups++;
}

static void on_down(void *ctx, uint64_t peer, uint64_t incarnation, enum ht_peer_down_reason reason)
{
	struct node *n = ctx;

	(void)peer;
	if (reason == HT_PEER_GONE) {
		n->gone++;
		n->gone_incarnation = incarnation;
	} else {
		n->silent++;
	}
}

static void on_message(void *ctx, uint64_t peer, const Ht__PeerMsg *msg)
{
	struct node *n = ctx;

	(void)peer;
	ck_assert_int_eq(msg->kind_case, HT__PEER_MSG__KIND_CONFIG_ANNOUNCE);
	n->messages++;
}

static const struct ht_peers_ops ops = {.up = on_up, .down = on_down, .message = on_message};

static void node_start(struct node *n, const char *name, const char *dc, const char *address,
		       uint64_t incarnation, uint8_t key)
{
	struct ht_err err = {0};

	memset(n, 0, sizeof(*n));
	rig_log_init(&n->log);
	n->params = (struct ht_peers_params){
		.loop = loop,
		.ops = &ops,
		.ctx = n,
		.log = &n->log,
		.counters = &n->counters,
		.incarnation = incarnation,
	};
	snprintf(n->params.self.name, sizeof(n->params.self.name), "%s", name);
	snprintf(n->params.self.dc, sizeof(n->params.self.dc), "%s", dc);
	snprintf(n->params.self.peer_address, sizeof(n->params.self.peer_address), "%s", address);
	n->params.self.size = 1;
	memset(n->params.key, key, sizeof(n->params.key));
	n->peers = ht_peers_new(&n->params, &err);
	ck_assert_msg(n->peers != NULL, "%s", err.text);
}

static void node_stop(struct node *n)
{
	ht_peers_free(n->peers);
	ht_event_ring_free(n->log.ring);
}

static uint64_t id_of(const struct node *n)
{
	return ht_instance_id(n->params.self.name);
}

static bool announce(struct node *from, const struct node *to)
{
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__ConfigAnnounce ann = HT__CONFIG_ANNOUNCE__INIT;

	ann.version = 5;
	msg.kind_case = HT__PEER_MSG__KIND_CONFIG_ANNOUNCE;
	msg.config_announce = &ann;
	return ht_peers_send(from->peers, id_of(to), &msg);
}

/* Guards against two links, or none, when both sides dial at the same moment. */
START_TEST(both_dial_and_one_link_stays)
{
	char addr[2][HT_ADDR_TEXT];
	struct node a, b;

	rig_address(addr[0], SOCK_STREAM);
	rig_address(addr[1], SOCK_STREAM);
	node_start(&a, "a", "dc", addr[0], 1, 7);
	node_start(&b, "b", "dc", addr[1], 2, 7);
	ht_peers_learn(a.peers, &b.params.self, 1, true);
	ht_peers_learn(b.peers, &a.params.self, 1, true);
	ck_assert(rig_run(loop, &a.ups, 1, 2000) && rig_run(loop, &b.ups, 1, 2000));
	rig_pass(loop, 300);
	for (int i = 0; i < 50; i++)
		ck_assert(announce(&a, &b) && announce(&b, &a));
	ck_assert(rig_run(loop, &a.messages, 50, 1000) && rig_run(loop, &b.messages, 50, 1000));
	rig_pass(loop, 1500);
	ck_assert_int_eq(a.ups, 1);
	ck_assert_int_eq(b.ups, 1);
	ck_assert_int_eq(a.silent + b.silent + a.gone + b.gone, 0);
	ck_assert_int_eq(a.messages, 50);
	ck_assert_int_eq(b.messages, 50);
	node_stop(&a);
	node_stop(&b);
}
END_TEST

/* Guards against an instance with another key being heard at all. */
START_TEST(wrong_key_is_refused)
{
	char addr[2][HT_ADDR_TEXT];
	struct node a, b;

	rig_address(addr[0], SOCK_STREAM);
	rig_address(addr[1], SOCK_STREAM);
	node_start(&a, "a", "dc", addr[0], 1, 7);
	node_start(&b, "b", "dc", addr[1], 2, 8);
	ht_peers_learn(a.peers, &b.params.self, 1, true);
	(void)announce(&a, &b);
	rig_pass(loop, 500);
	ck_assert_int_eq(a.ups + b.ups + a.messages + b.messages, 0);
	ck_assert_int_ge(rig_events(&b.log, HT_EV_PEER_REFUSED), 1);
	node_stop(&a);
	node_stop(&b);
}
END_TEST

/* Guards against a closed link being taken for the end of the process, and the reverse. */
START_TEST(end_is_proved_by_refusal_only)
{
	char addr[2][HT_ADDR_TEXT];
	struct node a, b;

	rig_address(addr[0], SOCK_STREAM);
	rig_address(addr[1], SOCK_STREAM);
	node_start(&a, "a", "dc", addr[0], 1, 7);
	node_start(&b, "b", "dc", addr[1], 2, 7);
	ht_peers_learn(a.peers, &b.params.self, 1, true);
	ck_assert(rig_run(loop, &a.ups, 1, 2000));
	rig_pass(loop, 100);
	node_stop(&b);
	ck_assert(rig_run(loop, &a.gone, 1, 1000));
	ck_assert_int_eq(a.silent, 1);
	ck_assert_uint_eq(a.gone_incarnation, 2);
	/* The end is reported once, however often the address refuses. */
	rig_pass(loop, 1000);
	ck_assert_int_eq(a.gone, 1);
	ck_assert(!announce(&a, &b));
	node_start(&b, "b", "dc", addr[1], 3, 7);
	ck_assert(rig_run(loop, &a.ups, 2, 6000));
	ck_assert_int_eq(a.gone, 1);
	node_stop(&a);
	node_stop(&b);
}
END_TEST

/* Guards against an old incarnation that stays counted after its successor has introduced itself,
 * and against a late link of the ended incarnation replacing the new one. */
START_TEST(new_incarnation_ends_the_old_one)
{
	char addr[3][HT_ADDR_TEXT];
	struct node a, b, c;

	for (int i = 0; i < 3; i++)
		rig_address(addr[i], SOCK_STREAM);
	node_start(&a, "a", "dc", addr[0], 1, 7);
	node_start(&b, "b", "dc", addr[1], 2, 7);
	ht_peers_learn(b.peers, &a.params.self, 1, true);
	ck_assert(rig_run(loop, &a.ups, 1, 2000));
	node_start(&c, "b", "dc", addr[2], 3, 7);
	ht_peers_learn(c.peers, &a.params.self, 1, true);
	ck_assert(rig_run(loop, &a.gone, 1, 2000));
	ck_assert_uint_eq(a.gone_incarnation, 2);
	ck_assert(rig_run(loop, &a.ups, 2, 1000));
	/* The first b dials again; it must not come up any more. */
	rig_pass(loop, 1500);
	ck_assert_int_eq(a.gone, 1);
	ck_assert_int_eq(a.ups, 2);
	node_stop(&a);
	node_stop(&b);
	node_stop(&c);
}
END_TEST

/* Guards against a message lost while the link to another data centre is being opened. */
START_TEST(other_data_centre_on_demand)
{
	char addr[2][HT_ADDR_TEXT];
	struct node a, b;

	rig_address(addr[0], SOCK_STREAM);
	rig_address(addr[1], SOCK_STREAM);
	node_start(&a, "a", "dc1", addr[0], 1, 7);
	node_start(&b, "b", "dc2", addr[1], 2, 7);
	ht_peers_learn(a.peers, &b.params.self, 1, true);
	rig_pass(loop, 200);
	ck_assert_int_eq(a.ups, 0);
	ck_assert(announce(&a, &b));
	ck_assert(rig_run(loop, &b.messages, 1, 1000));
	node_stop(&b);
	ck_assert(rig_run(loop, &a.gone, 1, 1000));
	node_stop(&a);
}
END_TEST

static int connect_to(const char *text)
{
	struct ht_addr addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert(ht_addr_parse(&addr, text, NULL));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr.ss, addr.len), 0);
	return fd;
}

static void send_frame(int fd, const Ht__PeerMsg *msg)
{
	struct ht_buffer buf = {0};

	ck_assert(ht_peer_frame_encode(&buf, msg, NULL));
	ck_assert_int_eq(send(fd, buf.data, buf.end, MSG_NOSIGNAL), (int)buf.end);
	ht_buffer_clear(&buf);
}

/* Guards against messages counting before the proof, and against garbage stopping the instance. */
START_TEST(strangers_are_cut_off)
{
	static const uint8_t garbage[] = "GET / HTTP/1.1\r\n\r\n";
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__ConfigAnnounce ann = HT__CONFIG_ANNOUNCE__INIT;
	char addr[2][HT_ADDR_TEXT];
	struct node a, b;
	int fd[3];

	rig_address(addr[0], SOCK_STREAM);
	rig_address(addr[1], SOCK_STREAM);
	node_start(&a, "a", "dc", addr[0], 1, 7);
	fd[0] = connect_to(addr[0]);
	ck_assert_int_gt(send(fd[0], garbage, sizeof(garbage), 0), 0);
	rig_pass(loop, 1100);
	fd[1] = connect_to(addr[0]);
	msg.kind_case = HT__PEER_MSG__KIND_CONFIG_ANNOUNCE;
	msg.config_announce = &ann;
	send_frame(fd[1], &msg);
	rig_pass(loop, 1100);
	fd[2] = connect_to(addr[0]); /* says nothing at all */
	rig_pass(loop, 2500);
	ck_assert_uint_eq(a.counters.values[HT_C_frames_malformed], 1);
	ck_assert_int_eq(rig_events(&a.log, HT_EV_FRAME_MALFORMED), 1);
	ck_assert_int_eq(rig_events(&a.log, HT_EV_PEER_REFUSED), 2);
	ck_assert_int_eq(a.messages + a.ups, 0);
	node_start(&b, "b", "dc", addr[1], 2, 7);
	ht_peers_learn(a.peers, &b.params.self, 1, true);
	ck_assert(rig_run(loop, &a.ups, 1, 2000));
	for (int i = 0; i < 3; i++)
		close(fd[i]);
	node_stop(&a);
	node_stop(&b);
}
END_TEST

/* Guards against strangers that fill the log and the event ring. */
START_TEST(strangers_log_one_line_a_second)
{
	static const uint8_t garbage[] = {0xff, 0xff, 0xff, 0xff};
	char addr[HT_ADDR_TEXT];
	struct node a;

	rig_address(addr, SOCK_STREAM);
	node_start(&a, "a", "dc", addr, 1, 7);
	for (int i = 0; i < 50; i++) {
		int fd = connect_to(addr);

		ck_assert_int_gt(send(fd, garbage, sizeof(garbage), 0), 0);
		rig_pass(loop, 5);
		close(fd);
	}
	ck_assert_uint_eq(a.counters.values[HT_C_frames_malformed], 50);
	ck_assert_int_le(rig_events(&a.log, HT_EV_FRAME_MALFORMED), 3);
	node_stop(&a);
}
END_TEST

/* Reads one message of the other side, which the loop must deliver. */
static Ht__PeerMsg *read_message(int fd, struct ht_buffer *in)
{
	Ht__PeerMsg *msg = NULL;
	uint8_t data[4096];

	for (int i = 0; i < 100; i++) {
		ssize_t n;

		if (ht_peer_frame_decode(in, HT_FRAME_MAX, &msg, NULL) == HT_FRAME_OK)
			return msg;
		rig_pass(loop, 10);
		n = recv(fd, data, sizeof(data), MSG_DONTWAIT);
		if (n > 0)
			ck_assert(ht_buffer_append(in, data, (size_t)n));
	}
	return NULL;
}

/* Introduces instance b with the right key on a bare socket. */
static int introduce(const char *to, uint8_t key_byte)
{
	struct ht_identity own = {.incarnation = 2, .info.size = 1}, other;
	Ht__HelloProof proof = HT__HELLO_PROOF__INIT;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT, *got;
	uint8_t key[HT_KEY_LEN], mac[HT_MAC_LEN];
	struct ht_buffer in = {0};
	Ht__Hello hello;
	int fd = connect_to(to);

	strcpy(own.info.name, "b");
	strcpy(own.info.dc, "dc");
	strcpy(own.info.peer_address, "127.0.0.1:9");
	memset(key, key_byte, sizeof(key));
	ht_hello_fill(&hello, &own);
	msg.kind_case = HT__PEER_MSG__KIND_HELLO;
	msg.hello = &hello;
	send_frame(fd, &msg);
	got = read_message(fd, &in);
	ck_assert(got && got->kind_case == HT__PEER_MSG__KIND_HELLO);
	ck_assert(ht_hello_read(got->hello, &other, NULL));
	ht__peer_msg__free_unpacked(got, NULL);
	ht_proof_make(mac, key, &own, &other);
	proof.mac.data = mac;
	proof.mac.len = sizeof(mac);
	msg.kind_case = HT__PEER_MSG__KIND_HELLO_PROOF;
	msg.hello_proof = &proof;
	send_frame(fd, &msg);
	ht_buffer_clear(&in);
	return fd;
}

/* Guards against memory that grows without bound for a peer that does not read. */
START_TEST(slow_peer_is_bounded)
{
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__Forward fwd = HT__FORWARD__INIT;
	char addr[HT_ADDR_TEXT];
	size_t accepted = 0;
	struct node a;
	int fd;

	rig_address(addr, SOCK_STREAM);
	node_start(&a, "a", "dc", addr, 1, 7);
	fd = introduce(addr, 7);
	ck_assert(rig_run(loop, &a.ups, 1, 1000));
	fwd.payload.len = (size_t)256 * 1024;
	fwd.payload.data = calloc(1, fwd.payload.len);
	msg.kind_case = HT__PEER_MSG__KIND_FORWARD;
	msg.forward = &fwd;
	for (int i = 0; i < 200; i++) {
		accepted += ht_peers_send(a.peers, ht_instance_id("b"), &msg);
		if (i % 10 == 0)
			rig_pass(loop, 5);
	}
	/* 4 MiB here, and what the two sockets hold. */
	ck_assert_uint_ge(accepted, 16);
	ck_assert_uint_lt(accepted, 64);
	ck_assert(!ht_peers_send(a.peers, ht_instance_id("b"), &msg));
	close(fd);
	ck_assert(rig_run(loop, &a.silent, 1, 1000));
	free(fwd.payload.data);
	node_stop(&a);
}
END_TEST

/* Guards against a proven peer's garbage doing more than closing its own link. */
START_TEST(malformed_frame_closes_the_link)
{
	static const uint8_t garbage[] = {0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff};
	char addr[HT_ADDR_TEXT];
	struct node a;
	int fd;

	rig_address(addr, SOCK_STREAM);
	node_start(&a, "a", "dc", addr, 1, 7);
	fd = introduce(addr, 7);
	ck_assert(rig_run(loop, &a.ups, 1, 1000));
	ck_assert_int_eq(send(fd, garbage, sizeof(garbage), 0), (int)sizeof(garbage));
	ck_assert(rig_run(loop, &a.silent, 1, 1000));
	ck_assert_uint_eq(a.counters.values[HT_C_frames_malformed], 1);
	close(fd);
	node_stop(&a);
}
END_TEST

/* Guards against a proof that can be reflected to its maker or moved to another identity. */
START_TEST(proof_binds_both_nonces_and_the_sender)
{
	struct ht_identity a = {.incarnation = 1}, b = {.incarnation = 2}, other;
	Ht__HelloProof proof = HT__HELLO_PROOF__INIT;
	uint8_t key[HT_KEY_LEN] = {1}, mac[HT_MAC_LEN];

	strcpy(a.info.name, "a");
	strcpy(b.info.name, "b");
	memset(a.nonce, 1, sizeof(a.nonce));
	memset(b.nonce, 2, sizeof(b.nonce));
	ht_proof_make(mac, key, &a, &b);
	proof.mac.data = mac;
	proof.mac.len = sizeof(mac);
	ck_assert(ht_proof_check(&proof, key, &a, &b));
	ck_assert(!ht_proof_check(&proof, key, &b, &a));
	other = a;
	strcpy(other.info.name, "c");
	ck_assert(!ht_proof_check(&proof, key, &other, &b));
	other = b;
	other.nonce[31] ^= 1;
	ck_assert(!ht_proof_check(&proof, key, &a, &other));
	proof.mac.len = 16;
	ck_assert(!ht_proof_check(&proof, key, &a, &b));
	proof.mac.len = sizeof(mac);
	key[0] = 2;
	ck_assert(!ht_proof_check(&proof, key, &a, &b));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("peers");
	TCase *tc = tcase_create("peers");
	SRunner *runner;
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	loop = ev_default_loop(0);
	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, both_dial_and_one_link_stays);
	tcase_add_test(tc, wrong_key_is_refused);
	tcase_add_test(tc, end_is_proved_by_refusal_only);
	tcase_add_test(tc, new_incarnation_ends_the_old_one);
	tcase_add_test(tc, other_data_centre_on_demand);
	tcase_add_test(tc, strangers_are_cut_off);
	tcase_add_test(tc, strangers_log_one_line_a_second);
	tcase_add_test(tc, slow_peer_is_bounded);
	tcase_add_test(tc, malformed_frame_closes_the_link);
	tcase_add_test(tc, proof_binds_both_nonces_and_the_sender);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	/* One process: libev's loop is not shared over fork(). */
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	ev_loop_destroy(loop);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
