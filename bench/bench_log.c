/*
 * Processor time of log lines: of one that is written, and of one that a budget leaves out. The
 * share is that of the default budgets on the smallest instance that the pages name.
 */
#include "base/logger.h"
#include "entry/settings.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINES 200000

/* Share of a core of the smallest instance. */
#define SMALLEST_SHARE 0.028

/* Packets a second of a small instance in a flood, each with a line that the budget leaves out. */
#define FLOOD_PACKETS 2000

static const char settings[] =
	"{\"instance\":\"a\",\"data_centre\":\"b\",\"packet_address\":\"127.0.0.1:1\","
	"\"ready_address\":\"127.0.0.1:1\",\"store_address\":\"127.0.0.1:1\","
	"\"peer_address\":\"127.0.0.1:1\"}";

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Microseconds for each of LINES lines as long as that of a refusal. */
static double lines_us(int fd, struct ht_log_budget budget)
{
	struct ht_logger *log = ht_logger_new(&(struct ht_logger_params){
		.fd = fd,
		.process = "front-paysandu-1",
		.level = HT_INFO,
		.total = budget,
		.event = budget,
		.clock = &ht_clock_monotonic,
		.wall = ht_clock_wall,
	});
	double start = cpu_us(), took;

	for (int i = 0; i < LINES; i++) {
		ht_logger_event(log, HT_EV_FLOW_RESET,
				"flow=100.64.0.7:%d-198.18.0.1:443 reason=%s copy=%d service=%s"
				" targets=%zu doubted=%zu version=%llu routes_revision=%llu"
				" routes_age_ms=%lld targets_revision=%llu targets_age_ms=%lld",
				i & 0xffff, "no-target", 0, "almacen", (size_t)18, (size_t)3, 12ULL,
				1234ULL, 512LL, 1250ULL, 730LL);
		ht_logger_flush(log);
	}
	took = (cpu_us() - start) / LINES;
	ht_logger_free(log);
	return took;
}

int main(void)
{
	const struct ht_log_budget plenty = {1e9, 1e12}, none = {1, 100};
	int fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
	struct ht_entry_settings set;
	double written, left_out, share;
	struct ht_err err;

	if (!ht_entry_settings_parse(&set, "settings", settings, strlen(settings), &err)) {
		fprintf(stderr, "bench_log: %s\n", err.text);
		return 1;
	}
	written = lines_us(fd, plenty);
	left_out = lines_us(fd, none);
	share = (set.log_lines * written + FLOOD_PACKETS * left_out) / 1e6 / SMALLEST_SHARE;
	printf("log line written %.2f us, left out %.3f us; %g lines a second in a flood of %d: "
	       "%.2f %% of %g core\n",
	       written, left_out, set.log_lines, FLOOD_PACKETS, share * 100, SMALLEST_SHARE);
	ht_entry_settings_clear(&set);
	close(fd);
	return 0;
}
