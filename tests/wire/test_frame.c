/* Tests of the frame codec. */
#include "wire/peer_frame.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static void encode_heartbeat(struct ht_buffer *buf, uint64_t sequence)
{
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__Heartbeat hb = HT__HEARTBEAT__INIT;

	hb.sequence = sequence;
	msg.kind_case = HT__PEER_MSG__KIND_HEARTBEAT;
	msg.heartbeat = &hb;
	ck_assert(ht_peer_frame_encode(buf, &msg, NULL));
}

static void expect_heartbeat(struct ht_buffer *buf, uint64_t sequence)
{
	Ht__PeerMsg *msg = NULL;

	ck_assert_int_eq(ht_peer_frame_decode(buf, HT_FRAME_MAX, &msg, NULL), HT_FRAME_OK);
	ck_assert_int_eq(msg->kind_case, HT__PEER_MSG__KIND_HEARTBEAT);
	ck_assert_uint_eq(msg->heartbeat->sequence, sequence);
	ht__peer_msg__free_unpacked(msg, NULL);
}

/* Guards against frames lost or merged when they arrive in pieces of any size. */
START_TEST(frames_survive_any_split)
{
	struct ht_buffer whole = {0};

	for (uint64_t i = 1; i <= 3; i++)
		encode_heartbeat(&whole, i << 40);
	for (size_t step = 1; step <= ht_buffer_len(&whole); step++) {
		struct ht_buffer in = {0};
		uint64_t next = 1;
		size_t at = 0;

		while (at < ht_buffer_len(&whole)) {
			size_t n = ht_buffer_len(&whole) - at < step ? ht_buffer_len(&whole) - at
								     : step;
			Ht__PeerMsg *msg;

			ck_assert(ht_buffer_append(&in, whole.data + at, n));
			at += n;
			while (ht_peer_frame_decode(&in, HT_FRAME_MAX, &msg, NULL) == HT_FRAME_OK) {
				ck_assert_uint_eq(msg->heartbeat->sequence, next++ << 40);
				ht__peer_msg__free_unpacked(msg, NULL);
			}
		}
		ck_assert_uint_eq(next, 4);
		ck_assert_uint_eq(ht_buffer_len(&in), 0);
		ht_buffer_clear(&in);
	}
	ht_buffer_clear(&whole);
}
END_TEST

/* Guards against memory taken on the word of a length field. */
START_TEST(oversized_length_is_refused)
{
	static const uint8_t huge[] = {0xff, 0xff, 0xff, 0xff};
	static const uint8_t over[] = {0, 0, 0x04, 0x01};
	struct ht_buffer in = {0};
	Ht__PeerMsg *msg;
	struct ht_err err;

	ck_assert(ht_buffer_append(&in, huge, sizeof(huge)));
	ck_assert_int_eq(ht_peer_frame_decode(&in, HT_FRAME_MAX, &msg, &err), HT_FRAME_BAD);
	ck_assert_msg(strstr(err.text, "exceeds the limit") != NULL, "%s", err.text);
	ht_buffer_clear(&in);
	ck_assert(ht_buffer_append(&in, over, sizeof(over)));
	ck_assert_int_eq(ht_peer_frame_decode(&in, HT_FRAME_MAX_HELLO, &msg, &err), HT_FRAME_BAD);
	ck_assert_int_eq(ht_peer_frame_decode(&in, HT_FRAME_MAX, &msg, &err), HT_FRAME_INCOMPLETE);
	ck_assert_uint_lt(in.capacity, 4096);
	ht_buffer_clear(&in);
}
END_TEST

/* Guards against a message that the receiver would refuse being sent. */
START_TEST(oversized_message_is_not_encoded)
{
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__Forward fwd = HT__FORWARD__INIT;
	struct ht_buffer out = {0};
	struct ht_err err;

	fwd.payload.len = HT_FRAME_MAX;
	fwd.payload.data = calloc(1, fwd.payload.len);
	msg.kind_case = HT__PEER_MSG__KIND_FORWARD;
	msg.forward = &fwd;
	ck_assert(!ht_peer_frame_encode(&out, &msg, &err));
	ck_assert_int_eq(err.code, HT_EINVAL);
	ck_assert_uint_eq(ht_buffer_len(&out), 0);
	fwd.payload.len = HT_FRAME_MAX - 64;
	ck_assert(ht_peer_frame_encode(&out, &msg, &err));
	free(fwd.payload.data);
	ht_buffer_clear(&out);
}
END_TEST

/* Guards against old instances that drop the link when a newer one sends an unknown kind. */
START_TEST(unknown_kinds_are_skipped)
{
	/* Field 1000 of PeerMsg, length-delimited, 2 bytes. */
	static const uint8_t frame[] = {0, 0, 0, 5, 0xc2, 0x3e, 2, 'h', 'i'};
	struct ht_buffer in = {0};
	Ht__PeerMsg *msg;

	ck_assert(ht_buffer_append(&in, frame, sizeof(frame)));
	ck_assert_int_eq(ht_peer_frame_decode(&in, HT_FRAME_MAX, &msg, NULL), HT_FRAME_OK);
	ck_assert_int_eq(msg->kind_case, HT__PEER_MSG__KIND__NOT_SET);
	ht__peer_msg__free_unpacked(msg, NULL);
	encode_heartbeat(&in, 7);
	expect_heartbeat(&in, 7);
	ht_buffer_clear(&in);
}
END_TEST

static void decode_all(const uint8_t *data, size_t len)
{
	struct ht_buffer in = {0};
	Ht__PeerMsg *msg;
	struct ht_err err;

	ck_assert(ht_buffer_append(&in, data, len));
	while (ht_peer_frame_decode(&in, HT_FRAME_MAX, &msg, &err) == HT_FRAME_OK)
		ht__peer_msg__free_unpacked(msg, NULL);
	ht_buffer_clear(&in);
}

/* Guards against crashes on hostile bytes: random ones, and valid frames with one byte changed. */
START_TEST(random_bytes_do_not_crash)
{
	struct ht_buffer valid = {0};
	uint8_t data[256];

	srandom(20261204);
	encode_heartbeat(&valid, 0x0123456789abcdefU);
	for (int round = 0; round < 20000; round++) {
		size_t len = (size_t)random() % sizeof(data);

		for (size_t i = 0; i < len; i++)
			data[i] = (uint8_t)random();
		/* A small length field, so that most rounds reach the message decoder. */
		if (len > 4)
			data[0] = data[1] = data[2] = 0;
		decode_all(data, len);
		len = ht_buffer_len(&valid);
		memcpy(data, valid.data, len);
		data[(size_t)random() % len] = (uint8_t)random();
		decode_all(data, len);
	}
	ht_buffer_clear(&valid);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("frame");
	TCase *tc = tcase_create("frame");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, frames_survive_any_split);
	tcase_add_test(tc, oversized_length_is_refused);
	tcase_add_test(tc, oversized_message_is_not_encoded);
	tcase_add_test(tc, unknown_kinds_are_skipped);
	tcase_add_test(tc, random_bytes_do_not_crash);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
