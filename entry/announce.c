/* News from the store and evidence of targets, told to the data centre and passed on in it. */
#include "base/hash.h"
#include "core/fanout.h"
#include "entry/link_internal.h"
#include "entry/snapshot.h"

/* News that is passed on waits this long for the routes that it tells of. */
#define PASS_ON_WAIT_MS 200

static void send_copy(struct ht_link *link, Ht__EntryGreeting *msg,
		      const struct ht_fanout_group *group)
{
	uint64_t pass_on[HT_LINK_PASS_ON_MAX];
	uint8_t buf[HT_LINK_GREETING_MAX];
	Ht__EntrySnapshot *changes = msg->changes;

	for (size_t i = 1; i < group->count; i++)
		pass_on[i - 1] = (uint64_t)group->to[i].ip << 16 | group->to[i].port;
	msg->n_pass_on = group->count - 1;
	msg->pass_on = pass_on;
	/* What does not fit is fetched. */
	if (ht__entry_greeting__get_packed_size(msg) > sizeof(buf))
		msg->changes = NULL;
	if (ht__entry_greeting__get_packed_size(msg) <= sizeof(buf))
		ht_link_send(link, group->to[0], buf, ht__entry_greeting__pack(msg, buf));
	msg->changes = changes;
	msg->n_pass_on = 0;
	msg->pass_on = NULL;
}

/* Sends @msg, filled in but for what this instance says of itself, to all of @receivers. */
static void announce(struct ht_link *link, Ht__EntryGreeting *msg,
		     const struct ht_link_receivers *receivers, uint64_t base)
{
	struct ht_view_state view = ht_link_view(link);
	struct ht_fanout_group groups[HT_FANOUT];
	struct ht_snapshot *changes = NULL;
	Ht__EntryInstance self;
	size_t n = ht_fanout_split(receivers->to, receivers->count, groups);

	ht_link_describe(link, msg, &self);
	/* Routes are fetched: a configuration is larger than a datagram. */
	if (base && view.targets_revision > base)
		changes = ht_snapshot_new(link->params.catalog, UINT64_MAX, base,
					  view.targets_revision, ht_now());
	if (changes && ht_snapshot_message(changes)->base_revision)
		msg->changes = ht_snapshot_message(changes);
	for (size_t i = 0; i < n; i++)
		send_copy(link, msg, &groups[i]);
	msg->changes = NULL;
	msg->self = NULL;
	ht_snapshot_free(changes);
}

struct receiver_lists {
	struct ht_link_receivers *fresh, old;
};

static void add_receiver(void *ctx, const struct ht_neighbour *n, bool fresh)
{
	struct receiver_lists *lists = ctx;
	struct ht_link_receivers *r = fresh ? lists->fresh : &lists->old;

	if (r->count < HT_LINK_PASS_ON_MAX)
		r->to[r->count++] = n->at;
}

/* Those that may be gone stand last, so that none of the others depends on them. */
static void local_receivers(struct ht_link *link, struct ht_link_receivers *r)
{
	struct receiver_lists lists = {.fresh = r};
	uint64_t seed = link->seed + link->announcements++;

	r->count = 0;
	ht_neighbours_each_local(link->neighbours, ht_now(), add_receiver, &lists);
	ht_fanout_shuffle(r->to, r->count, seed);
	ht_fanout_shuffle(lists.old.to, lists.old.count, seed);
	for (size_t i = 0; i < lists.old.count && r->count < HT_LINK_PASS_ON_MAX; i++)
		r->to[r->count++] = lists.old.to[i];
}

void ht_link_announce(struct ht_link *link)
{
	struct ht_view_state view = ht_link_view(link);
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	struct ht_link_receivers receivers;

	if (!view.usable)
		return;
	local_receivers(link, &receivers);
	announce(link, &msg, &receivers, link->announced);
	link->announced = view.targets_revision;
}

void ht_link_on_report_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_link *link = timer->data;
	struct ht_reports *reports = link->params.reports;
	Ht__EntryEvidence evidence[HT_REPORTS_MAX], *list[HT_REPORTS_MAX];
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	struct ht_link_receivers receivers;

	(void)loop;
	(void)revents;
	for (size_t i = 0; i < reports->count; i++) {
		ht__entry_evidence__init(&evidence[i]);
		evidence[i].mark = reports->list[i].mark;
		evidence[i].misses = reports->list[i].misses;
		evidence[i].errors = reports->list[i].errors;
		list[i] = &evidence[i];
	}
	msg.n_evidence = reports->count;
	msg.evidence = list;
	reports->count = 0;
	local_receivers(link, &receivers);
	announce(link, &msg, &receivers, 0);
}

/* Passes the news on that waits for its routes, whether they have come or not. */
void ht_link_pass_on_pending(struct ht_link *link)
{
	struct ht_link_news *news = &link->news;
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;

	ev_timer_stop(link->params.loop, &news->timer);
	if (news->receivers.count)
		announce(link, &msg, &news->receivers, news->base);
	news->receivers.count = 0;
}

void ht_link_on_news_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	ht_link_pass_on_pending(timer->data);
}

/* Passes @msg on as it came, for one that knows less than it tells. */
static void pass_on_unchanged(struct ht_link *link, const Ht__EntryGreeting *msg,
			      const struct ht_link_receivers *receivers)
{
	struct ht_fanout_group groups[HT_FANOUT];
	size_t n = ht_fanout_split(receivers->to, receivers->count, groups);
	Ht__EntryGreeting copy = *msg;

	for (size_t i = 0; i < n; i++)
		send_copy(link, &copy, &groups[i]);
}

/*
 * Passes the news of @msg on in this instance's own name: who hears of newer routes fetches them
 * here, and not all from the one instance that has read them.
 */
void ht_link_pass_on(struct ht_link *link, const Ht__EntryGreeting *msg)
{
	struct ht_link_news *news = &link->news;
	uint64_t base = msg->changes ? msg->changes->base_revision : 0;
	struct ht_view_state view = ht_link_view(link);
	struct ht_link_receivers *r = &news->receivers;

	ht_link_pass_on_pending(link);
	for (size_t i = 0; i < msg->n_pass_on && i < HT_LINK_PASS_ON_MAX; i++)
		r->to[r->count++] = (struct ht_endpoint){
			.ip = (uint32_t)(msg->pass_on[i] >> 16),
			.port = (uint16_t)msg->pass_on[i],
		};
	if (!view.usable || view.targets_revision < msg->targets_revision) {
		pass_on_unchanged(link, msg, r);
		r->count = 0;
		return;
	}
	if (msg->n_evidence || view.routes_revision >= msg->routes_revision) {
		Ht__EntryGreeting copy = HT__ENTRY_GREETING__INIT;

		copy.n_evidence = msg->n_evidence;
		copy.evidence = msg->evidence;
		announce(link, &copy, r, base);
		r->count = 0;
		return;
	}
	news->base = base;
	news->routes_revision = msg->routes_revision;
	ev_timer_set(&news->timer, PASS_ON_WAIT_MS / 1000.0, 0);
	ev_timer_start(link->params.loop, &news->timer);
}
