/* Control bytes and platform calls, idle and for each event, against the size of a data centre. */
#include "bench/capacity.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const int sizes[] = {3, 9, 27, 54, 108};

/* Control bytes other than heartbeats at an instance, both directions, by kind of message. */
struct tally {
	double mean, max;
	double kinds[SIM_KINDS]; /* means */
};

struct snapshot {
	uint64_t all[SIM_NODES];
	uint64_t kinds[SIM_NODES][SIM_KINDS];
};

static bool counts(int kind)
{
	return kind != HT__PEER_MSG__KIND_HEARTBEAT && kind != HT__PEER_MSG__KIND_FORWARD &&
	       kind != HT__PEER_MSG__KIND_ANSWER && kind != HT__PEER_MSG__KIND_RETURNED;
}

static uint64_t bytes_of(const struct sim_node *n)
{
	return n->sent_bytes + n->received_bytes;
}

static void mark(const struct sim *s, struct snapshot *at)
{
	for (int i = 0; i < s->node_count; i++) {
		at->all[i] = bytes_of(&s->nodes[i]);
		memcpy(at->kinds[i], s->nodes[i].kind_bytes, sizeof(at->kinds[i]));
	}
}

/* Bytes since the mark at the instances first to last. */
static struct tally since(const struct sim *s, const struct snapshot *at, int first, int last)
{
	struct tally t = {0};

	for (int i = first; i <= last; i++) {
		double sum = 0;

		for (int k = 0; k < SIM_KINDS; k++) {
			double b = (double)(s->nodes[i].kind_bytes[k] - at->kinds[i][k]);

			if (!counts(k))
				continue;
			t.kinds[k] += b / (last - first + 1);
			sum += b;
		}
		t.mean += sum / (last - first + 1);
		if (sum > t.max)
			t.max = sum;
	}
	return t;
}

static void print_tally(const struct tally *t)
{
	static const char *const names[SIM_KINDS] = {
		[HT__PEER_MSG__KIND_CLAIM] = "claim",
		[HT__PEER_MSG__KIND_CLAIM_REPLY] = "reply",
		[HT__PEER_MSG__KIND_SLOT_RELEASE] = "release",
		[HT__PEER_MSG__KIND_LEDGER_ENTRIES] = "ledger",
		[HT__PEER_MSG__KIND_LEDGER_ACK] = "ledger-ack",
		[HT__PEER_MSG__KIND_CONFIG_ANNOUNCE] = "announce",
		[HT__PEER_MSG__KIND_CONFIG_PULL] = "pull",
		[HT__PEER_MSG__KIND_CONFIG_DATA] = "config",
		[HT__PEER_MSG__KIND_LIVE_LIST] = "list",
	};

	printf("%.0f B at a node (max %.0f):", t->mean, t->max);
	for (int k = 0; k < SIM_KINDS; k++)
		if (names[k] && t->kinds[k] >= 1)
			printf(" %s %.0f", names[k], t->kinds[k]);
	printf("\n");
	fflush(stdout);
}

static void idle_rate(struct sim *s, int n)
{
	static struct snapshot at;
	uint64_t calls[SIM_PLATFORM_CALLS];
	double sum = 0, max = 0;

	mark(s, &at);
	memcpy(calls, s->platform_calls, sizeof(calls));
	sim_run(s, s->now + 120000);
	for (int i = 0; i < n; i++) {
		double b = (double)(bytes_of(&s->nodes[i]) - at.all[i]) / 120;

		sum += b;
		max = b > max ? b : max;
	}
	printf("n=%-3d idle: %.0f B/s at a node (max %.0f), %d targets; platform calls a minute: "
	       "head %.1f, watch %.1f, list %.1f, status %.1f\n",
	       n, sum / n, max, 8 * n,
	       (double)(s->platform_calls[HT_PLATFORM_READ_HEAD] - calls[0]) / 2,
	       (double)(s->platform_calls[HT_PLATFORM_WATCH_HEAD] - calls[1]) / 2,
	       (double)(s->platform_calls[HT_PLATFORM_READ_LIVE] - calls[2]) / 2,
	       (double)(s->platform_calls[HT_PLATFORM_WRITE_STATUS] - calls[3]) / 2);
}

/* Each event is measured over this time. */
#define WINDOW 39000

/* The event concerns instance 0; @own: its own bytes are printed too. */
static void event(struct sim *s, const char *name, void (*act)(struct sim *s, int n), int n,
		  bool own)
{
	static struct snapshot at;
	struct tally t;

	mark(s, &at);
	act(s, n);
	sim_run(s, s->now + WINDOW);
	t = since(s, &at, 1, n - 1);
	printf("n=%-3d %-21s ", n, name);
	print_tally(&t);
	if (!own)
		return;
	t = since(s, &at, 0, 0);
	printf("n=%-3d %-21s ", n, "  at the instance");
	print_tally(&t);
}

static void act_change(struct sim *s, int n)
{
	struct rules_shape shape = {.services = 3, .targets = 8 * n, .dcs = 1, .changed = 1};

	capacity_apply(s, 2, &shape);
}

static void act_leave(struct sim *s, int n)
{
	(void)n;
	ht_core_advance(s->nodes[0].core, s->now);
	ht_core_stop(s->nodes[0].core);
	sim_run(s, s->now + 10000);
	if (s->nodes[0].core)
		printf("  the planned stop took longer than 10 s\n");
	sim_kill(s, 0, true);
}

static void act_join(struct sim *s, int n)
{
	(void)n;
	sim_start(s, 0);
}

static void act_die(struct sim *s, int n)
{
	(void)n;
	sim_kill(s, 0, true);
}

static void act_vanish(struct sim *s, int n)
{
	(void)n;
	sim_kill(s, 0, false);
}

static void all_events(int n)
{
	static const struct {
		const char *name;
		void (*act)(struct sim *s, int n);
	} events[] = {{"configuration change", act_change},
		      {"planned leave", act_leave},
		      {"join", act_join},
		      {"end with proof", act_die},
		      {"join again", act_join},
		      {"silent end", act_vanish}};
	struct rules_shape shape = {.services = 3, .targets = 8 * n, .dcs = 1};
	struct sim *s = capacity_sim(9, n, &shape);

	idle_rate(s, n);
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		event(s, events[i].name, events[i].act, n, events[i].act == act_join);
	}
	sim_free(s);
}

void capacity_control(void)
{
	printf("control bytes: protobuf frames with their length field, both directions; events "
	       "without heartbeats, within %d s\n",
	       WINDOW / 1000);
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		all_events(sizes[i]);
}

/* Twenty instances of 108 end at once and come back at once. */
static void rack(bool proof)
{
	struct rules_shape shape = {.services = 3, .targets = 8 * 108, .dcs = 1};
	struct sim *s = capacity_sim(10, 108, &shape);
	static struct snapshot at;
	struct tally t;

	mark(s, &at);
	for (int i = 0; i < 20; i++)
		sim_kill(s, i, proof);
	sim_run(s, s->now + WINDOW);
	t = since(s, &at, 20, 107);
	printf("rack of 20 of 108 ends %s: ", proof ? "with proof" : "silently");
	print_tally(&t);
	mark(s, &at);
	for (int i = 0; i < 20; i++)
		sim_start(s, i);
	sim_run(s, s->now + WINDOW);
	t = since(s, &at, 20, 107);
	printf("rack of 20 of 108 comes back: ");
	print_tally(&t);
	sim_free(s);
}

/* The other of two data centres ends as a whole and leaves the platform's list. */
static void data_centre(int n)
{
	struct rules_shape shape = {.services = 3, .targets = 16 * n, .dcs = 2};
	struct sim *s = sim_new(11);
	static struct snapshot at;
	struct tally t;
	char name[32];

	capacity_apply(s, 1, &shape);
	for (int i = 0; i < 2 * n; i++) {
		snprintf(name, sizeof(name), "%s-%d", rules_dc(i / n), i + 1);
		sim_add(s, name, rules_dc(i / n), 1);
	}
	sim_publish(s);
	for (int i = 0; i < 2 * n; i++)
		sim_start(s, i);
	sim_run(s, s->now + 60000);
	mark(s, &at);
	for (int i = n; i < 2 * n; i++) {
		sim_kill(s, i, true);
		s->nodes[i].listed = false;
	}
	sim_publish(s);
	sim_run(s, s->now + WINDOW);
	t = since(s, &at, 0, n - 1);
	printf("other data centre of %d ends, here: ", n);
	print_tally(&t);
	sim_free(s);
}

/* Bytes at an instance that is @missed versions behind when it is linked again. */
static void behind(int missed)
{
	struct rules_shape shape = {.services = 1012, .targets = 2625, .dcs = 26};
	struct sim *s = capacity_sim(13, 3, &shape);
	static struct snapshot at;
	struct tally t;

	s->nodes[2].no_platform = true;
	for (int i = 0; i < 2; i++)
		s->cut[i][2] = s->cut[2][i] = true;
	for (int i = 0; i < missed; i++) {
		shape.changed++;
		capacity_apply(s, 2 + (uint64_t)i, &shape);
		sim_run(s, s->now + 2000);
	}
	for (int i = 0; i < 2; i++)
		s->cut[i][2] = s->cut[2][i] = false;
	mark(s, &at);
	sim_run(s, s->now + 8000);
	t = since(s, &at, 2, 2);
	printf("link back after %d changes (2,625 targets), version %llu of %d after 8 s: ", missed,
	       (unsigned long long)ht_core_config(s->nodes[2].core)->version, missed + 1);
	print_tally(&t);
	sim_free(s);
}

/* An instance of a data centre of 54 starts while the list holds 2,800 instances. */
static void join_long_list(void)
{
	struct rules_shape shape = {.services = 3, .targets = 8 * 54, .dcs = 1};
	struct sim *s = capacity_sim(15, 54, &shape);

	s->ghosts = 2800 - 54;
	sim_publish(s);
	sim_run(s, s->now + 10000);
	printf("list of 2,800 instances:\n");
	event(s, "end with proof", act_die, 54, false);
	event(s, "join", act_join, 54, true);
	sim_free(s);
}

/* An empty instance reads the whole configuration from a peer while the platform is down. */
static void empty_start(void)
{
	static const int targets[] = {2625, 5250, 10500, 21000};
	struct series bytes = {.what = "bytes of an instance that starts empty", .unit = "B"};
	struct series time = {.what = "CPU at it and its peers to start empty", .unit = "ms"};

	for (int i = 0; i < 4; i++) {
		struct rules_shape shape = {
			.services = targets[i] * 81 / 210, .targets = targets[i], .dcs = 26};
		struct sim *s = capacity_sim(14, 3, &shape);
		static struct snapshot at;
		double began;

		sim_kill(s, 2, true);
		s->platform_down = true;
		sim_run(s, s->now + 10000);
		mark(s, &at);
		began = cpu_seconds();
		sim_start(s, 2);
		sim_run(s, s->now + 5000);
		series_add(&time, targets[i], (cpu_seconds() - began) * 1e3);
		series_add(&bytes, targets[i], since(s, &at, 2, 2).mean);
		if (!ht_core_config(s->nodes[2].core))
			printf("  no configuration after 5 s at %d targets\n", targets[i]);
		sim_free(s);
	}
	series_print(&bytes);
	series_print(&time);
}

void capacity_bursts(void)
{
	rack(true);
	rack(false);
	data_centre(18);
	data_centre(36);
	data_centre(54);
	behind(1);
	behind(8);
	behind(9);
	behind(40);
	join_long_list();
	empty_start();
}
