/* Tests of histograms and of metrics in the Prometheus text format. */
#include "base/exposition.h"
#include "tests/suite.h"

#include <stdlib.h>

static char *text;
static size_t len;
static FILE *out;

static void start(void)
{
	out = open_memstream(&text, &len);
}

static void stop(void)
{
	fclose(out);
	free(text);
}

START_TEST(range_includes_its_upper_end)
{
	struct ht_histogram h = ht_histogram_of(&ht_histogram_calls);

	ht_histogram_add(&h, 0.001);
	ht_histogram_add(&h, 0.0011);
	ht_histogram_add(&h, 60);
	ck_assert_uint_eq(h.counts[0], 1);
	ck_assert_uint_eq(h.counts[1], 1);
	ck_assert_uint_eq(h.counts[h.ranges->count], 1);
	ck_assert_uint_eq(h.count, 3);
}
END_TEST

START_TEST(histogram_buckets_are_cumulative)
{
	static const struct ht_histogram_ranges ranges = {.count = 2, .ends = {0.5, 2}};
	const struct ht_label labels[] = {{"service", "stock"}, {0}};
	struct ht_histogram h = ht_histogram_of(&ranges);

	ht_histogram_add(&h, 0.25);
	ht_histogram_add(&h, 1);
	ht_histogram_add(&h, 4);
	ht_exposition_begin(out, "answer_seconds", "histogram", "Time of answers.");
	ht_exposition_histogram(out, "answer_seconds", labels, &h);
	fflush(out);
	ck_assert_str_eq(text, "# HELP answer_seconds Time of answers.\n"
			       "# TYPE answer_seconds histogram\n"
			       "answer_seconds_bucket{service=\"stock\",le=\"0.5\"} 1\n"
			       "answer_seconds_bucket{service=\"stock\",le=\"2\"} 2\n"
			       "answer_seconds_bucket{service=\"stock\",le=\"+Inf\"} 3\n"
			       "answer_seconds_sum{service=\"stock\"} 5.25\n"
			       "answer_seconds_count{service=\"stock\"} 3\n");
}
END_TEST

START_TEST(label_values_are_escaped)
{
	const struct ht_label labels[] = {{"target", "a\"b\\c\nd"}, {0}};

	ht_exposition_sample(out, "up", "", labels, 1);
	ht_exposition_sample(out, "down", "", NULL, 0.5);
	fflush(out);
	ck_assert_str_eq(text, "up{target=\"a\\\"b\\\\c\\nd\"} 1\ndown 0.5\n");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("exposition");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, range_includes_its_upper_end);
	tcase_add_test(tc, histogram_buckets_are_cumulative);
	tcase_add_test(tc, label_values_are_escaped);
	return run_case("exposition", tc);
}
