/* The time line from log lines: order by cause, filters, forms of input. */
#include "ctl/logs.h"
#include "tests/suite.h"

#include <glib/gstdio.h>
#include <string.h>

#define FLOW "100.64.0.7:40001-198.18.0.1:443"
#define LINE(second, process, event, fields)                                                       \
	"time=2026-12-04T06:00:" second "Z tick=0 instance=" process " event=" event               \
	" level=info name=X " fields "\n"

static char file[] = "/tmp/ht-logs-XXXXXX";
static char *out;

static int run(const char *text, const char *option, const char *value)
{
	char *argv[] = {"hickoryctl",	"timeline",    "--log", file,
			(char *)option, (char *)value, NULL};
	char *errs = NULL, *printed = NULL;
	size_t len;
	FILE *o = open_memstream(&printed, &len), *e = open_memstream(&errs, &len);
	int status;

	ck_assert(g_file_set_contents(file, text, -1, NULL));
	status = ht_ctl_main(option ? value ? 6 : 5 : 4, argv, o, e);
	fclose(o);
	fclose(e);
	g_free(out);
	out = g_strconcat(printed, errs, NULL);
	free(printed);
	free(errs);
	return status;
}

static void start(void)
{
	int fd = g_mkstemp(file);

	ck_assert_int_ge(fd, 0);
	close(fd);
}

static void stop(void)
{
	g_unlink(file);
	g_free(out);
	out = NULL;
}

/* Asserts that the events numbered in @want, such as "1 2 3", were printed in this order. */
static void printed(const char *want)
{
	GString *have = g_string_new("");
	const char *p = out;

	while ((p = strstr(p, "event="))) {
		p += strlen("event=");
		g_string_append_printf(have, "%s%.*s", have->len ? " " : "", (int)strcspn(p, " "),
				       p);
	}
	ck_assert_str_eq(have->str, want);
	g_string_free(have, TRUE);
}

START_TEST(lines_are_merged_by_clock)
{
	ck_assert_int_eq(run(LINE("03.000", "a", "3", "x=1") LINE("01.000", "b", "1", "x=1")
				     LINE("02.000", "b", "2", "x=1"),
			     NULL, NULL),
			 HT_CTL_DONE);
	printed("1 2 3");
}
END_TEST

/* The clock of instance b is four seconds behind: its packet still follows the opening one. */
START_TEST(data_follows_its_opening_whatever_the_clocks)
{
	run(LINE("05.000", "a", "1", "flow=" FLOW " copy=0 target=t")
		    LINE("01.000", "b", "2", "flow=" FLOW " mark=1 target=t")
			    LINE("01.001", "b", "3", "flow=other mark=2"),
	    NULL, NULL);
	printed("1 2 3");
}
END_TEST

START_TEST(copies_follow_each_other)
{
	run(LINE("05.000", "a", "3", "flow=" FLOW " copy=2")
		    LINE("06.000", "b", "2", "flow=" FLOW " copy=1")
			    LINE("07.000", "c", "1", "flow=" FLOW " copy=0"),
	    NULL, NULL);
	printed("1 2 3");
}
END_TEST

/* The line about a copy without an answer stands before the line about the next copy. */
START_TEST(unanswered_copy_stands_before_the_next_one)
{
	run(LINE("01.000", "a", "1", "flow=" FLOW " copy=0")
		    LINE("01.200", "a", "2", "flow=" FLOW " step=unanswered copy=0")
			    LINE("01.200", "a", "3", "flow=" FLOW " copy=1"),
	    NULL, NULL);
	printed("1 2 3");
}
END_TEST

START_TEST(lines_of_one_instance_keep_their_order_when_its_clock_steps_back)
{
	run(LINE("05.000", "a", "1", "x=1") LINE("01.000", "a", "2", "x=1")
		    LINE("06.000", "b", "3", "x=1"),
	    NULL, NULL);
	printed("1 2 3");
}
END_TEST

START_TEST(filters_are_exact_and_combined)
{
	static const char text[] = LINE("01.000", "a", "1", "flow=" FLOW " target=i-1")
		LINE("02.000", "b", "2", "flow=" FLOW "0 target=i-1")
			LINE("03.000", "b", "3", "reason=\"flow=" FLOW "\" target=i-12");

	run(text, "--flow", FLOW);
	printed("1");
	run(text, "--target", "i-1");
	printed("1 2");
	run(text, "--instance", "b");
	printed("2 3");
	run(text, "--number", "3");
	printed("3");
}
END_TEST

/* Collectors put their own words before a line. */
START_TEST(prefixes_are_skipped_and_other_lines_ignored)
{
	run("Dec 04 host entry[12]: " LINE("02.000", "a", "2",
					   "x=1") "no log line\n"
						  "time=soon tick=1 instance=a\n"
						  "  0.5 front-1 " LINE("01.000", "b", "1", "x=1"),
	    "--json", NULL);
	ck_assert_ptr_nonnull(strstr(out, "\"ignored\": 2"));
	ck_assert_ptr_nonnull(strstr(out, "\"instance\": \"b\""));
}
END_TEST

START_TEST(quoted_values_are_read_whole)
{
	char *value = ht_log_line_field("a=1 reason=\"no such b=2\" b=3", "b");

	ck_assert_str_eq(value, "3");
	g_free(value);
	value = ht_log_line_field("a=1 reason=\"no such b=2\" b=3", "reason");
	ck_assert_str_eq(value, "no such b=2");
	g_free(value);
	ck_assert_ptr_null(ht_log_line_field("a=1", "b"));
}
END_TEST

START_TEST(missing_file_is_named)
{
	char *argv[] = {"hickoryctl", "timeline", "--log", "/nonexistent/file", NULL};
	char *errs = NULL;
	size_t len;
	FILE *e = open_memstream(&errs, &len);

	ck_assert_int_eq(ht_ctl_main(4, argv, stdout, e), HT_CTL_USAGE);
	fclose(e);
	ck_assert_ptr_nonnull(strstr(errs, "/nonexistent/file"));
	free(errs);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("logs");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, lines_are_merged_by_clock);
	tcase_add_test(tc, data_follows_its_opening_whatever_the_clocks);
	tcase_add_test(tc, copies_follow_each_other);
	tcase_add_test(tc, unanswered_copy_stands_before_the_next_one);
	tcase_add_test(tc, lines_of_one_instance_keep_their_order_when_its_clock_steps_back);
	tcase_add_test(tc, filters_are_exact_and_combined);
	tcase_add_test(tc, prefixes_are_skipped_and_other_lines_ignored);
	tcase_add_test(tc, quoted_values_are_read_whole);
	tcase_add_test(tc, missing_file_is_named);
	return run_case("logs", tc);
}
