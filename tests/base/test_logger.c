/* Log lines: their form, their budgets, and a reader that stops. No sockets, a fake clock. */
#include "base/logger.h"
#include "tests/suite.h"

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define LINES 10
#define BYTES 100000

static ht_ms now, wall;
static int ends[2];
static struct ht_logger *log_;
static char text[1 << 18];

static ht_ms fake_now(void *ctx)
{
	(void)ctx;
	return now;
}

static ht_ms fake_wall(void)
{
	return wall;
}

static const struct ht_clock fake_clock = {.now = fake_now};

static void start(void)
{
	now = 1000;
	wall = 1765000000123;
	ck_assert_int_eq(pipe(ends), 0);
	log_ = ht_logger_new(&(struct ht_logger_params){
		.fd = ends[1],
		.process = "front-1",
		.level = HT_INFO,
		.total = {.lines = LINES, .bytes = BYTES},
		.event = {.lines = LINES, .bytes = BYTES},
		.clock = &fake_clock,
		.wall = fake_wall,
	});
	ck_assert_ptr_nonnull(log_);
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
}

static void stop(void)
{
	ht_logger_free(log_);
	close(ends[0]);
	close(ends[1]);
}

/* Reads what has been written so far; returns the number of lines. */
static size_t read_lines(void)
{
	size_t len = 0, lines = 0;
	ssize_t n;

	ht_logger_flush(log_);
	while ((n = read(ends[0], text + len, sizeof(text) - 1 - len)) > 0)
		len += (size_t)n;
	text[len] = '\0';
	for (const char *p = text; *p; p++)
		lines += *p == '\n';
	return lines;
}

START_TEST(line_has_time_instance_event_and_fields)
{
	ht_logger_event(log_, HT_EV_FLOW_RESET, "flow=%s reason=%s", "a-b", "no-target");
	ck_assert_uint_eq(read_lines(), 1);
	ck_assert_str_eq(text, "time=2025-12-06T05:46:40.123Z tick=0 instance=front-1 event=6062"
			       " level=notice name=FLOW_RESET flow=a-b reason=no-target\n");
}
END_TEST

START_TEST(value_from_outside_cannot_end_a_line)
{
	ht_logger_event(log_, HT_EV_FLOW_RESET, "target=%s", "x\ntime=1 \x1b[2J\xff");
	ck_assert_uint_eq(read_lines(), 1);
	ck_assert_ptr_null(strchr(text, '\x1b'));
	ck_assert_ptr_null(strchr(text, '\xff'));
}
END_TEST

START_TEST(long_line_is_cut)
{
	char value[2 * HT_LOG_LINE_MAX];

	memset(value, 'x', sizeof(value) - 1);
	value[sizeof(value) - 1] = '\0';
	ht_logger_event(log_, HT_EV_FLOW_RESET, "target=%s", value);
	ck_assert_uint_eq(read_lines(), 1);
	ck_assert_uint_eq(strlen(text), HT_LOG_LINE_MAX);
}
END_TEST

START_TEST(level_leaves_out_lines_without_a_count)
{
	struct ht_logger_counts counts;

	ht_logger_event(log_, HT_EV_REQUEST_RECEIVED, "flow=x"); /* debug */
	ht_logger_counts(log_, &counts);
	ck_assert_uint_eq(read_lines(), 0);
	ck_assert_uint_eq(counts.over_budget, 0);
}
END_TEST

START_TEST(stamps_never_go_back_and_follow_received_ones)
{
	uint64_t first = ht_logger_stamp(log_), second;

	wall -= 3000;
	second = ht_logger_stamp(log_);
	ck_assert_uint_gt(second, first);
	ht_logger_receive(log_, second + (5000UL << 16));
	ck_assert_uint_gt(ht_logger_stamp(log_), second + (5000UL << 16));
}
END_TEST

/* Guards against one machine with a wrong clock that moves the stamps of all others. */
START_TEST(stamp_far_ahead_is_not_followed)
{
	ht_logger_receive(log_, (uint64_t)(wall + 3600000) << 16);
	ck_assert_int_eq((ht_ms)(ht_logger_stamp(log_) >> 16), wall);
}
END_TEST

/* A flood of one event for ten seconds: no more lines than the budget and its burst. */
START_TEST(flood_is_bounded_and_what_is_left_out_is_told)
{
	struct ht_logger_counts counts;
	size_t lines = 0;

	for (int i = 0; i < 10000; i++) {
		now++;
		ht_logger_event(log_, HT_EV_FLOW_RESET, "flow=%d", i);
		if (i % 100 == 0)
			lines += read_lines();
	}
	lines += read_lines();
	ht_logger_counts(log_, &counts);
	ck_assert_uint_ge(lines, 10 * LINES);
	ck_assert_uint_le(lines, 13 * LINES);
	ck_assert_uint_eq(counts.written, lines);
	ck_assert_uint_eq(counts.written + counts.over_budget, 10000);
	ht_logger_report(log_);
	ck_assert_uint_eq(read_lines(), 1);
	ck_assert_ptr_nonnull(strstr(text, "name=LOG_LINES_OMITTED"));
	ck_assert_ptr_nonnull(strstr(text, "FLOW_RESET="));
	ht_logger_report(log_);
	ck_assert_uint_eq(read_lines(), 0);
}
END_TEST

START_TEST(bytes_are_bounded_too)
{
	size_t bytes = 0;
	char value[800];

	memset(value, 'x', sizeof(value) - 1);
	value[sizeof(value) - 1] = '\0';
	ht_logger_configure(log_, HT_INFO, (struct ht_log_budget){1000, 2000},
			    (struct ht_log_budget){1000, 2000});
	for (int i = 0; i < 10000; i++) {
		now++;
		ht_logger_event(log_, HT_EV_FLOW_RESET, "target=%s", value);
		if (i % 100 == 0) {
			read_lines();
			bytes += strlen(text);
		}
	}
	ck_assert_uint_le(bytes, 13 * 2000 + HT_LOG_LINE_MAX);
}
END_TEST

/* Refusals find room although ordinary lines use up their part. */
START_TEST(ordinary_lines_leave_room_for_refusals)
{
	size_t placed = 0, resets = 0;

	ht_logger_configure(log_, HT_INFO, (struct ht_log_budget){10, 1e6},
			    (struct ht_log_budget){10, 1e6});
	for (int i = 0; i < 1000; i++) {
		now++;
		placed += ht_logger_take(log_, HT_EV_FLOW_PLACED);
	}
	for (int i = 0; i < 10; i++)
		resets += ht_logger_take(log_, HT_EV_FLOW_RESET);
	ck_assert_uint_gt(placed, 0);
	ck_assert_uint_eq(resets, 10);
	ck_assert(!ht_logger_take(log_, HT_EV_FLOW_PLACED));
}
END_TEST

/* A reader that stops costs lines, not time; they are counted, and none is torn. */
START_TEST(full_pipe_loses_lines_and_serves_on)
{
	struct ht_logger_counts counts;
	size_t lines, whole = 0;

	ht_logger_configure(log_, HT_INFO, (struct ht_log_budget){1e6, 1e9},
			    (struct ht_log_budget){1e6, 1e9});
	for (int i = 0; i < 20000; i++) {
		ht_logger_event(log_, HT_EV_FLOW_RESET, "flow=%d", i);
		ht_logger_flush(log_);
	}
	ht_logger_counts(log_, &counts);
	ck_assert_uint_gt(counts.unwritten, 0);
	ck_assert_uint_eq(counts.written + counts.unwritten, 20000);
	for (lines = read_lines(); lines; lines = read_lines()) {
		ck_assert_int_eq(strncmp(text, "time=", 5) != 0 && whole == 0, 0);
		whole += lines;
	}
	ck_assert_uint_eq(whole, counts.written);
	ht_logger_event(log_, HT_EV_FLOW_RESET, "flow=after");
	ht_logger_report(log_);
	ck_assert_uint_eq(read_lines(), 2);
	ck_assert_ptr_nonnull(strstr(text, "flow=after"));
	ck_assert_ptr_nonnull(strstr(text, "unwritten="));
}
END_TEST

START_TEST(reader_that_is_gone_is_counted)
{
	struct ht_logger_counts counts;

	signal(SIGPIPE, SIG_IGN);
	close(ends[0]);
	ht_logger_event(log_, HT_EV_FLOW_RESET, "flow=x");
	ht_logger_flush(log_);
	ht_logger_counts(log_, &counts);
	ck_assert_uint_eq(counts.written, 0);
	ck_assert_uint_eq(counts.unwritten, 1);
	ends[0] = dup(ends[1]);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("logger");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, line_has_time_instance_event_and_fields);
	tcase_add_test(tc, value_from_outside_cannot_end_a_line);
	tcase_add_test(tc, long_line_is_cut);
	tcase_add_test(tc, level_leaves_out_lines_without_a_count);
	tcase_add_test(tc, stamps_never_go_back_and_follow_received_ones);
	tcase_add_test(tc, stamp_far_ahead_is_not_followed);
	tcase_add_test(tc, flood_is_bounded_and_what_is_left_out_is_told);
	tcase_add_test(tc, bytes_are_bounded_too);
	tcase_add_test(tc, ordinary_lines_leave_room_for_refusals);
	tcase_add_test(tc, full_pipe_loses_lines_and_serves_on);
	tcase_add_test(tc, reader_that_is_gone_is_counted);
	return run_case("logger", tc);
}
