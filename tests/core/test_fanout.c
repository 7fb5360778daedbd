/* Tests of the fan-out: each receiver gets one copy, and no instance sends many. */
#include "core/fanout.h"
#include "tests/suite.h"

#include <string.h>

#define RECEIVERS_MAX 1000

static struct ht_fanout_receiver to[RECEIVERS_MAX];
static unsigned int received[RECEIVERS_MAX], hops_max;

/* Simulates the relaying by the first receiver of each group. */
static void relay(const struct ht_fanout_receiver *list, size_t count, size_t copies,
		  unsigned int hop)
{
	struct ht_fanout_group groups[HT_FANOUT];
	size_t n = ht_fanout_split(list, count, copies, groups);

	ck_assert_uint_le(n, copies);
	if (hop > hops_max)
		hops_max = hop;
	for (size_t i = 0; i < n; i++) {
		ck_assert_uint_ge(groups[i].count, 1);
		received[groups[i].to[0].at.ip]++;
		if (groups[i].count > 1)
			relay(groups[i].to + 1, groups[i].count - 1, copies, hop + 1);
	}
}

static void announce(size_t count, size_t copies, uint64_t seed)
{
	memset(received, 0, sizeof(received));
	hops_max = 0;
	for (size_t i = 0; i < count; i++)
		to[i] = (struct ht_fanout_receiver){.at.ip = (uint32_t)i};
	ht_fanout_shuffle(to, count, seed);
	if (count)
		relay(to, count, copies, 1);
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

START_TEST(number_of_hops_is_small)
{
	announce(HT_FANOUT, HT_FANOUT, 1);
	ck_assert_uint_eq(hops_max, 1);
	announce(72, HT_FANOUT, 1);
	ck_assert_uint_eq(hops_max, 2);
	announce(584, HT_FANOUT, 1);
	ck_assert_uint_eq(hops_max, 3);
}
END_TEST

/* When thousands of targets change at once, the sender must not send the large message to all. */
START_TEST(large_messages_take_more_hops)
{
	ck_assert_uint_eq(ht_fanout_copies(100), HT_FANOUT);
	ck_assert_uint_eq(ht_fanout_copies(HT_FANOUT_BYTES / 5), 5);
	ck_assert_uint_eq(ht_fanout_copies(100000), HT_FANOUT_MIN);
	announce(60, ht_fanout_copies(100000), 1);
	ck_assert_uint_le(hops_max, 4);
}
END_TEST

/* A dead instance must not cut off the same others each time. */
START_TEST(order_depends_on_the_seed)
{
	unsigned int first[RECEIVERS_MAX] = {0}, first_max = 0;

	for (uint64_t seed = 0; seed < 720; seed++) {
		announce(72, HT_FANOUT, seed);
		first[to[0].at.ip]++;
	}
	for (size_t i = 0; i < 72; i++)
		if (first[i] > first_max)
			first_max = first[i];
	ck_assert_uint_le(first_max, 720 / 72 * 3);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fanout");

	tcase_add_test(tc, each_receiver_gets_one_copy);
	tcase_add_test(tc, number_of_hops_is_small);
	tcase_add_test(tc, large_messages_take_more_hops);
	tcase_add_test(tc, order_depends_on_the_seed);
	return run_case("fanout", tc);
}
