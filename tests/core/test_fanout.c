/* Announcements that are passed on: each receiver gets one copy, and nobody sends many. */
#include "core/fanout.h"
#include "tests/suite.h"

#include <string.h>

#define MOST 1000

static struct ht_fanout_receiver to[MOST];
static unsigned int received[MOST], longest;

/* Plays what the first one of each group does with its copy. */
static void pass_on(const struct ht_fanout_receiver *list, size_t count, size_t copies,
		    unsigned int hop)
{
	struct ht_fanout_group groups[HT_FANOUT];
	size_t n = ht_fanout_split(list, count, copies, groups);

	ck_assert_uint_le(n, copies);
	if (hop > longest)
		longest = hop;
	for (size_t i = 0; i < n; i++) {
		ck_assert_uint_ge(groups[i].count, 1);
		received[groups[i].to[0].at.ip]++;
		if (groups[i].count > 1)
			pass_on(groups[i].to + 1, groups[i].count - 1, copies, hop + 1);
	}
}

static void announce(size_t count, size_t copies, uint64_t seed)
{
	memset(received, 0, sizeof(received));
	longest = 0;
	for (size_t i = 0; i < count; i++)
		to[i] = (struct ht_fanout_receiver){.at.ip = (uint32_t)i};
	ht_fanout_shuffle(to, count, seed);
	if (count)
		pass_on(to, count, copies, 1);
	for (size_t i = 0; i < count; i++)
		ck_assert_uint_eq(received[i], 1);
}

START_TEST(each_receiver_gets_one_copy)
{
	for (size_t count = 0; count <= 300; count++)
		for (size_t copies = HT_FANOUT_MIN; copies <= HT_FANOUT; copies++)
			announce(count, copies, count);
}
END_TEST

START_TEST(ways_are_short)
{
	announce(HT_FANOUT, HT_FANOUT, 1);
	ck_assert_uint_eq(longest, 1);
	announce(72, HT_FANOUT, 1);
	ck_assert_uint_eq(longest, 2);
	announce(584, HT_FANOUT, 1);
	ck_assert_uint_eq(longest, 3);
}
END_TEST

/* Pattern: thousands of targets change at once; the sender must not send the whole to each. */
START_TEST(large_messages_take_more_hops)
{
	ck_assert_uint_eq(ht_fanout_copies(100), HT_FANOUT);
	ck_assert_uint_eq(ht_fanout_copies(HT_FANOUT_BYTES / 5), 5);
	ck_assert_uint_eq(ht_fanout_copies(100000), HT_FANOUT_MIN);
	announce(60, ht_fanout_copies(100000), 1);
	ck_assert_uint_le(longest, 4);
}
END_TEST

/* Guards against a dead instance that cuts the same others off each time. */
START_TEST(another_order_each_time)
{
	unsigned int first[MOST] = {0}, most = 0;

	for (uint64_t seed = 0; seed < 720; seed++) {
		announce(72, HT_FANOUT, seed);
		first[to[0].at.ip]++;
	}
	for (size_t i = 0; i < 72; i++)
		if (first[i] > most)
			most = first[i];
	ck_assert_uint_le(most, 720 / 72 * 3);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fanout");

	tcase_add_test(tc, each_receiver_gets_one_copy);
	tcase_add_test(tc, ways_are_short);
	tcase_add_test(tc, large_messages_take_more_hops);
	tcase_add_test(tc, another_order_each_time);
	return run_case("fanout", tc);
}
