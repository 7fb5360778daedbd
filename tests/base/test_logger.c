/* Tests of log lines: format, budgets and a reader that stalls. Uses a pipe and a fake clock. */
#include "base/logger.h"
#include "tests/suite.h"

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define LINES_PER_S 10
#define BYTES_PER_S 100000

static ht_ms now, wall;
static int pipe_fds[2];
static struct ht_logger *log_;
static char text[1 << 18];

static ht_ms fake_now(void *ctx)
{
	(void)ctx;
	return now;
}

static ht_ms fake_wall_clock(void)
{
	return wall;
}

static const struct ht_clock fake_clock = {.now = fake_now};

static void start(void)
{
	now = 1000;
	wall = 1765000000123;
	ck_assert_int_eq(pipe(pipe_fds), 0);
	log_ = ht_logger_new(&(struct ht_logger_params){
		.fd = pipe_fds[1],
		.process = "front-1",
		.level = HT_INFO,
		.total = {.lines = LINES_PER_S, .bytes = BYTES_PER_S},
		.event = {.lines = LINES_PER_S, .bytes = BYTES_PER_S},
		.clock = &fake_clock,
		.wall = fake_wall_clock,
	});
	ck_assert_ptr_nonnull(log_);
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
}

static void stop(void)
{
	ht_logger_free(log_);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/* Reads into text what has been written so far. Returns the number of lines. */
static size_t read_lines(void)
{
	size_t len = 0, lines = 0;
	ssize_t n;

	ht_logger_flush(log_);
	while ((n = read(pipe_fds[0], text + len, sizeof(text) - 1 - len)) > 0)
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

START_TEST(value_cannot_end_a_line_or_control_a_terminal)
{
	ht_logger_event(log_, HT_EV_FLOW_RESET, "target=%s", "x\ntime=1 \x1b[2J\xff");
	ck_assert_uint_eq(read_lines(), 1);
	ck_assert_ptr_null(strchr(text, '\x1b'));
	ck_assert_ptr_null(strchr(text, '\xff'));
}
END_TEST

START_TEST(long_line_is_truncated)
{
	char value[2 * HT_LOG_LINE_MAX];

	memset(value, 'x', sizeof(value) - 1);
	value[sizeof(value) - 1] = '\0';
	ht_logger_event(log_, HT_EV_FLOW_RESET, "target=%s", value);
	ck_assert_uint_eq(read_lines(), 1);
	ck_assert_uint_eq(strlen(text), HT_LOG_LINE_MAX);
}
END_TEST

START_TEST(lines_above_the_level_are_not_counted)
{
	struct ht_logger_counts counts;

	ht_logger_event(log_, HT_EV_REQUEST_RECEIVED, "flow=x"); /* a DEBUG event */
	ht_logger_counts(log_, &counts);
	ck_assert_uint_eq(read_lines(), 0);
	ck_assert_uint_eq(counts.over_budget, 0);
}
END_TEST

START_TEST(timestamps_increase_and_follow_received_ones)
{
	uint64_t first = ht_logger_stamp(log_), second;

	wall -= 3000;
	second = ht_logger_stamp(log_);
	ck_assert_uint_gt(second, first);
	ht_logger_merge_stamp(log_, second + (5000UL << 16));
	ck_assert_uint_gt(ht_logger_stamp(log_), second + (5000UL << 16));
}
END_TEST

/* Guards against a machine with a wrong clock that advances the timestamps of all others. */
START_TEST(timestamp_far_ahead_is_ignored)
{
	ht_logger_merge_stamp(log_, (uint64_t)(wall + 3600000) << 16);
	ck_assert_int_eq((ht_ms)(ht_logger_stamp(log_) >> 16), wall);
}
END_TEST

/* Ten seconds of one event at a high rate write no more lines than the budget and its burst. */
START_TEST(flood_is_limited_and_dropped_lines_are_reported)
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
	ck_assert_uint_ge(lines, 10 * LINES_PER_S);
	ck_assert_uint_le(lines, 13 * LINES_PER_S);
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

START_TEST(bytes_are_limited)
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

/* Lines about refusals are still written when INFO lines have used up their part of the budget. */
START_TEST(info_lines_leave_budget_for_refusals)
{
	size_t placed = 0, resets = 0;

	ht_logger_configure(log_, HT_INFO, (struct ht_log_budget){10, 1e6},
			    (struct ht_log_budget){10, 1e6});
	for (int i = 0; i < 1000; i++) {
		now++;
		placed += ht_logger_admit(log_, HT_EV_FLOW_PLACED);
	}
	for (int i = 0; i < 10; i++)
		resets += ht_logger_admit(log_, HT_EV_FLOW_RESET);
	ck_assert_uint_gt(placed, 0);
	ck_assert_uint_eq(resets, 10);
	ck_assert(!ht_logger_admit(log_, HT_EV_FLOW_PLACED));
}
END_TEST

/* A stalled reader must not block the writer: lines are dropped and counted, none is cut in half.
 */
START_TEST(full_pipe_drops_lines_without_blocking)
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

START_TEST(lines_without_a_reader_are_counted)
{
	struct ht_logger_counts counts;

	signal(SIGPIPE, SIG_IGN);
	close(pipe_fds[0]);
	ht_logger_event(log_, HT_EV_FLOW_RESET, "flow=x");
	ht_logger_flush(log_);
	ht_logger_counts(log_, &counts);
	ck_assert_uint_eq(counts.written, 0);
	ck_assert_uint_eq(counts.unwritten, 1);
	pipe_fds[0] = dup(pipe_fds[1]);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("logger");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, line_has_time_instance_event_and_fields);
	tcase_add_test(tc, value_cannot_end_a_line_or_control_a_terminal);
	tcase_add_test(tc, long_line_is_truncated);
	tcase_add_test(tc, lines_above_the_level_are_not_counted);
	tcase_add_test(tc, timestamps_increase_and_follow_received_ones);
	tcase_add_test(tc, timestamp_far_ahead_is_ignored);
	tcase_add_test(tc, flood_is_limited_and_dropped_lines_are_reported);
	tcase_add_test(tc, bytes_are_limited);
	tcase_add_test(tc, info_lines_leave_budget_for_refusals);
	tcase_add_test(tc, full_pipe_drops_lines_without_blocking);
	tcase_add_test(tc, lines_without_a_reader_are_counted);
	return run_case("logger", tc);
}
