/* Tests of the packet format, with the platform's published example. */
#include "platform/packet.h"
#include "tests/suite.h"

#include <string.h>

/* A SYN packet from 100.64.0.7:40001 to 198.18.0.1:443, and the RST packet sent in return. */
static const uint8_t opening[HT_PACKET_HEADER_LEN] = {
	0x80, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1,
	0xb2, 0xc3, 0xd5, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12,
	0x00, 0x01, 0x01, 0xbb, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
};
static const uint8_t reset[HT_PACKET_HEADER_LEN] = {
	0x04, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40,
	0x00, 0x07, 0x9c, 0x41, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
};

START_TEST(decodes_published_example)
{
	uint8_t out[HT_PACKET_HEADER_LEN];
	struct ht_packet pkt;

	ck_assert(ht_packet_decode(&pkt, opening, sizeof(opening)));
	ck_assert(pkt.opens && !pkt.closes && !pkt.resets);
	ck_assert_uint_eq(pkt.src.ip, 0x64400007);
	ck_assert_uint_eq(pkt.src.port, 40001);
	ck_assert_uint_eq(pkt.dst.ip, 0xc6120001);
	ck_assert_uint_eq(pkt.dst.port, 443);
	ck_assert_uint_eq(pkt.sequence, 0x11223344);
	ck_assert_uint_eq(pkt.mark, 0);
	ht_packet_reset(out, &pkt);
	ck_assert_int_eq(memcmp(out, reset, sizeof(reset)), 0);
}
END_TEST

START_TEST(rejects_invalid_packets)
{
	uint8_t data[HT_PACKET_MAX + 1] = {0};
	struct ht_packet pkt;

	for (size_t len = 0; len < HT_PACKET_HEADER_LEN; len++)
		ck_assert(!ht_packet_decode(&pkt, opening, len));
	memcpy(data, opening, sizeof(opening));
	ck_assert(!ht_packet_decode(&pkt, data, HT_PACKET_HEADER_LEN + 1));
	ck_assert(!ht_packet_decode(&pkt, data, sizeof(data)));
	data[0] = 128 | 64; /* SYN and ACK: only targets send that */
	ck_assert(!ht_packet_decode(&pkt, data, HT_PACKET_HEADER_LEN));
	data[0] = 64;
	data[27] = 5;
	ck_assert(ht_packet_decode(&pkt, data, HT_PACKET_HEADER_LEN + 5));
	ck_assert_uint_eq(pkt.length, 5);
}
END_TEST

START_TEST(sets_target_id_and_mark)
{
	static const uint8_t id[8] = {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
	static const uint8_t mark[4] = {1, 2, 3, 4};
	uint8_t data[HT_PACKET_TARGET_ID_LEN + HT_PACKET_HEADER_LEN];

	memcpy(data + HT_PACKET_TARGET_ID_LEN, opening, sizeof(opening));
	ht_packet_set_target(data, 0x7f3a91c2, 0x01020304);
	ck_assert_int_eq(memcmp(data, id, sizeof(id)), 0);
	/* The mark must be the only change to the caller's packet. */
	ck_assert_int_eq(memcmp(data + HT_PACKET_TARGET_ID_LEN, opening, 28), 0);
	ck_assert_int_eq(memcmp(data + HT_PACKET_TARGET_ID_LEN + 28, mark, sizeof(mark)), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("packet");

	tcase_add_test(tc, decodes_published_example);
	tcase_add_test(tc, rejects_invalid_packets);
	tcase_add_test(tc, sets_target_id_and_mark);
	return run_case("packet", tc);
}
