/* Merged time line of several cores: no cause sorts after its effect, however wall clocks differ.
 */
#include "tests/core/core_run.h"

/* Clocks of claims from one node to another: of the first claim in the latest ms that had one, and
 * of the first claim in the ms with claims before it. */
struct claim_clocks {
	ht_ms at;
	uint64_t clock, before;
};

static struct {
	struct claim_clocks claim_clocks[NODES][NODES];
	unsigned int reports[3], granted;
} observed;

static void record_claim(struct claim_clocks *c, ht_ms now, uint64_t clock)
{
	if (c->at == now)
		return;
	*c = (struct claim_clocks){.at = now, .clock = clock, .before = c->clock};
}

/* A message takes 1 ms, so a grant never answers a claim sent in the current ms. */
static void check_grant(const struct claim_clocks *c, ht_ms now, uint64_t clock)
{
	observed.granted++;
	ck_assert_uint_gt(clock, c->at < now ? c->clock : c->before);
}

static int report_kind(enum ht_event_number number)
{
	switch (number) {
	case HT_EV_CLAIM_SENT:
		return 0;
	case HT_EV_REQUEST_FORWARDED:
		return 1;
	case HT_EV_REQUEST_DEFLECTED:
	case HT_EV_FLOW_LOOKUP:
	case HT_EV_QUEUE_HANDED_OVER:
		return 2; /* emitted after REQUEST_FORWARDED */
	default:
		return -1;
	}
}

/* A receiver advances its clock past the message's before it acts; so the event that reports a
 * message must have a clock below that of the message. */
static void check_event(const struct node *n, const struct ht_event *ev)
{
	const struct node *peer = ev->instance ? node_by_id(n->net, ev->instance) : NULL;
	int kind = report_kind(ev->number);

	if (!peer)
		return;
	if (kind >= 0) {
		observed.reports[kind]++;
		ck_assert_msg(ev->clock < n->sent_clock[peer->index],
			      "event %d has clock %llx, its message %llx", (int)ev->number,
			      (unsigned long long)ev->clock,
			      (unsigned long long)n->sent_clock[peer->index]);
	}
	if (ev->number == HT_EV_CLAIM_SENT)
		record_claim(&observed.claim_clocks[n->index][peer->index], n->net->now, ev->clock);
	if (ev->number == HT_EV_CLAIM_GRANTED)
		check_grant(&observed.claim_clocks[peer->index][n->index], n->net->now, ev->clock);
}

/* Guards against an event whose clock is later than that of the message it reports. This shows when
 * the receiver's wall clock is behind. */
START_TEST(reports_precede_effects)
{
	struct net *net = net_new(8, 4, 6);

	net->wall_skew = 50;
	net->on_event = check_event;
	for (int i = 0; i < net->count; i++) {
		node_end(net, i);
		node_start(net, i);
		net_run(net, 4000);
	}
	load(net, 4000, 600, 500);
	set_targets(net, 0, 7, -1);
	load(net, 4000, 600, 500);
	for (int i = 0; i < 3; i++)
		ck_assert_uint_gt(observed.reports[i], 0);
	ck_assert_uint_gt(observed.granted, 0);
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("timeline");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, reports_precede_effects);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
