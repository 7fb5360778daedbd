#include "entry/load_exchange.h"

#include "base/hash.h"
#include "entry/link_internal.h"
#include "entry/load_codec.h"

#include <stdlib.h>

/* Reports are sent before views: the collector makes its view this part of an interval after its
 * own report. */
#define VIEW_DELAY(interval) ((interval)*11 / 20)

/* A collector is silent after two missing views and half an interval for delays; an instance stops
 * collecting without reports for as long. A view at the busy pace is valid for about as long. */
#define SILENCE(interval) ((interval)*5 / 2)

/* An instance that is this late was frozen. Messages that have waited in its socket look new, but
 * may be as old as that, so it handles none until it has read them. Others have taken over
 * meanwhile. */
#define FROZEN_MS SILENCE(HT_LOAD_BUSY_MS)
#define READ_QUEUE_MS HT_LOAD_BUSY_MS

/* Slots for members that have reported; one for each remainder of the hash of a name. A member
 * whose slot another one has taken is treated as one that has not reported. */
#define REPORTERS 2048

/* Names of this many views are kept, as reports may refer to an earlier one. */
#define NAMES_KEPT 4

/* The instance of another data centre from which its last sum came. */
struct peer {
	uint32_t dc, instance;
	ht_ms at;
};

/* Last message of any kind of members or of other data centres, and of busy ones, or HT_NEVER. */
struct heard {
	ht_ms any_at, busy_at;
};

struct reporter {
	uint32_t instance;
	ht_ms at; /* 0: none */
};

struct ht_load_exchange {
	struct ht_load_exchange_params params;
	uint32_t self, dc; /* keys of the own names */
	uint64_t seed;
	enum ht_load_pace pace;
	ev_timer timer;
	ht_ms report_at, view_at; /* when they are due */
	ht_ms resumed_at;	  /* after it was frozen, or HT_NEVER */
	ht_ms waiting_since;	  /* views are expected since then, or since the last one */
	uint32_t collector;	  /* sender of the views that count... */
	ht_ms collected_at;	  /* ...and the time of the last one, or HT_NEVER */
	struct heard members, others;
	size_t peer_count;
	struct peer peers[HT_LOAD_DCS_MAX - 1];
	struct ht_load_names names[NAMES_KEPT]; /* of views, newest first */
	struct reporter reporters[REPORTERS];
};

static ht_ms interval_of(enum ht_load_pace pace)
{
	return pace == HT_LOAD_BUSY ? HT_LOAD_BUSY_MS : HT_LOAD_RELAXED_MS;
}

static ht_ms now_of(const struct ht_load_exchange *ex)
{
	return ht_clock_now(ex->params.clock);
}

static bool within(ht_ms at, ht_ms limit, ht_ms now)
{
	return at != HT_NEVER && now - at < limit;
}

static enum ht_load_pace heard_pace(const struct heard *h, ht_ms now)
{
	if (within(h->busy_at, SILENCE(HT_LOAD_BUSY_MS), now))
		return HT_LOAD_BUSY;
	return within(h->any_at, SILENCE(HT_LOAD_RELAXED_MS), now) ? HT_LOAD_RELAXED : HT_LOAD_IDLE;
}

/* Pace of the busiest instance of the own data centre. */
static enum ht_load_pace own_pace(const struct ht_load_exchange *ex, ht_ms now)
{
	enum ht_load_pace members = heard_pace(&ex->members, now);

	return members > ex->pace ? members : ex->pace;
}

/* Pace of views. An idle data centre wakes up if another one is not idle, whose flows may be sent
 * to its targets. */
static enum ht_load_pace view_pace(const struct ht_load_exchange *ex, ht_ms now)
{
	enum ht_load_pace own = own_pace(ex, now), others = heard_pace(&ex->others, now);

	return others > own ? others : own;
}

static ht_ms view_interval(const struct ht_load_exchange *ex, ht_ms now)
{
	return interval_of(view_pace(ex, now));
}

static bool has_collector(const struct ht_load_exchange *ex, ht_ms now)
{
	return within(ex->collected_at, SILENCE(interval_of(ex->pace)), now);
}

/* The instance to report to; NULL: this one. The sender of views remains the collector even if one
 * that precedes it returns, which has no reports to make a view of. */
static const struct ht_neighbour *find_collector(const struct ht_load_exchange *ex, ht_ms now)
{
	const struct ht_neighbours *nb = ex->params.neighbours;
	ht_ms since = ex->waiting_since;
	const struct ht_neighbour *n;

	if (has_collector(ex, now)) {
		n = ht_neighbours_find(nb, ex->collector);
		if (n || ex->collector == ex->self)
			return n;
	}
	/* No views are expected then. */
	if (ex->pace == HT_LOAD_IDLE)
		return ht_neighbours_ranked(nb, 0, now);
	if (ex->collected_at != HT_NEVER && ex->collected_at > since)
		since = ex->collected_at;
	return ht_neighbours_ranked(nb, (size_t)((now - since) / SILENCE(interval_of(ex->pace))),
				    now);
}

static bool is_collecting(const struct ht_load_exchange *ex, ht_ms now)
{
	if (heard_pace(&ex->members, now) != HT_LOAD_IDLE)
		return true;
	return view_pace(ex, now) != HT_LOAD_IDLE && !find_collector(ex, now);
}

/* Number of live instances of the own data centre. Of a large one, some may not have been heard
 * lately. */
static size_t count_live(const struct ht_load_exchange *ex, ht_ms now)
{
	size_t live = ht_neighbours_local_count(ex->params.neighbours, now);
	size_t members = 1 + ht_load_member_count(ex->params.load, now);

	return live > members ? live : members;
}

/* A view from @sender (NULL: this instance) is in force. If there are several collectors, the first
 * in the order counts. */
static void note_collector(struct ht_load_exchange *ex, const struct ht_neighbour *sender,
			   ht_ms now)
{
	const struct ht_neighbours *nb = ex->params.neighbours;
	uint32_t id = sender ? (uint32_t)sender->id : ex->self;

	if (has_collector(ex, now) && ex->collector != id) {
		const struct ht_neighbour *n = ht_neighbours_find(nb, ex->collector);

		if ((n || ex->collector == ex->self) && ht_neighbours_precedes(nb, n, sender))
			return;
	}
	ex->collector = id;
	ex->collected_at = now;
}

/* Keeps the names of a view, to which reports can refer. */
static void keep_names(struct ht_load_exchange *ex, const struct ht_load_names *names)
{
	uint32_t hash = ht_load_names_hash(names);
	size_t i = 0;

	while (i < NAMES_KEPT - 1 && ex->names[i].dc_count &&
	       ht_load_names_hash(&ex->names[i]) != hash)
		i++;
	for (; i > 0; i--)
		ex->names[i] = ex->names[i - 1];
	ex->names[0] = *names;
}

/* Sends @msg unless it is too large. */
static void send_to(struct ht_load_exchange *ex, struct ht_endpoint to, Ht__EntryLoad *msg)
{
	Ht__EntryGreeting greeting = HT__ENTRY_GREETING__INIT;
	uint8_t buf[HT_LINK_GREETING_MAX];

	greeting.load = msg;
	if (ht__entry_greeting__get_packed_size(&greeting) <= sizeof(buf))
		ex->params.send(ex->params.ctx, to, buf, ht__entry_greeting__pack(&greeting, buf));
}

/* Size of a datagram with @size bytes of a message for one of @copies groups of receivers. */
static size_t datagram_size(size_t size, size_t receivers, size_t copies)
{
	const size_t frame = 16; /* tags and lengths */

	return frame + size + (receivers + copies - 1) / copies * sizeof(uint64_t);
}

/* Number of copies to send: more if the receivers to pass it on to do not fit otherwise. */
static size_t view_copies(size_t size, size_t receivers)
{
	size_t copies = ht_fanout_copies(size);

	while (copies < HT_FANOUT && datagram_size(size, receivers, copies) > HT_LINK_GREETING_MAX)
		copies++;
	return copies;
}

/* Splits the list into groups; receivers at its front become the first ones of their groups. */
static size_t deal(const struct ht_link_receivers *receivers, size_t copies,
		   struct ht_fanout_receiver *dealt, struct ht_fanout_group groups[HT_FANOUT])
{
	size_t n = ht_fanout_split(dealt, receivers->count, copies, groups), next = 0;

	for (size_t row = 0; next < receivers->count; row++)
		for (size_t i = 0; i < n; i++)
			if (row < groups[i].count)
				dealt[(groups[i].to - dealt) + (ptrdiff_t)row] =
					receivers->to[next++];
	return n;
}

/* Sends the view @msg to the receivers, each of which passes it on to some of the others. */
static void spread(struct ht_load_exchange *ex, const Ht__EntryLoad *msg,
		   const struct ht_link_receivers *receivers)
{
	struct ht_fanout_receiver dealt[HT_LINK_RELAY_MAX];
	struct ht_fanout_group groups[HT_FANOUT];
	uint64_t pass_on[HT_LINK_RELAY_MAX];
	Ht__EntryLoad copy = *msg;
	size_t n;

	copy.n_pass_on = 0;
	n = deal(receivers, view_copies(ht__entry_load__get_packed_size(&copy), receivers->count),
		 dealt, groups);
	for (size_t i = 0; i < n; i++) {
		for (size_t k = 1; k < groups[i].count; k++)
			pass_on[k - 1] = ht_link_encode_receiver(&groups[i].to[k]);
		copy.n_pass_on = groups[i].count - 1;
		copy.pass_on = pass_on;
		send_to(ex, groups[i].to[0].at, &copy);
	}
}

struct member_lists {
	const struct ht_load_exchange *ex;
	ht_ms now;
	struct ht_link_receivers *reporting, others;
};

static void add_member(void *ctx, const struct ht_neighbour *n, bool fresh)
{
	struct member_lists *lists = ctx;
	const struct reporter *r = &lists->ex->reporters[n->id % REPORTERS];
	bool reports = r->at && r->instance == (uint32_t)n->id &&
		       within(r->at, SILENCE(view_interval(lists->ex, lists->now)), lists->now);
	struct ht_link_receivers *to = reports ? lists->reporting : &lists->others;

	(void)fresh;
	if (to->count < HT_LINK_RELAY_MAX)
		to->to[to->count++].at = n->at;
}

/* Lists the instances of the own data centre. Those without reports, which may be down or of an
 * earlier build and then pass nothing on, come last. */
static void list_members(const struct ht_load_exchange *ex, struct ht_link_receivers *out,
			 ht_ms now)
{
	struct member_lists lists = {.ex = ex, .now = now, .reporting = out, .others.count = 0};
	uint64_t seed = ht_hash_pair(ex->seed, (uint64_t)now);

	out->count = 0;
	ht_neighbours_each_local(ex->params.neighbours, now, add_member, &lists);
	ht_fanout_shuffle(out->to, out->count, seed);
	ht_fanout_shuffle(lists.others.to, lists.others.count, seed);
	for (size_t i = 0; i < lists.others.count && out->count < HT_LINK_RELAY_MAX; i++)
		out->to[out->count++] = lists.others.to[i];
}

/* Encodes as much of the view as fits a datagram: targets are left out first, then the last data
 * centres. */
static void encode_view(struct ht_load_message *m, const struct ht_load_view *view,
			size_t receivers)
{
	const struct ht_load_sum *sums[HT_LOAD_DCS_MAX];
	size_t count = view->count, targets = HT_LOAD_TARGETS_MAX, size;

	for (size_t i = 0; i < count; i++)
		sums[i] = &view->dcs[i];
	for (;;) {
		ht_load_encode(m, sums, count, targets, NULL);
		size = ht__entry_load__get_packed_size(&m->msg);
		if (datagram_size(size, receivers, HT_FANOUT) <= HT_LINK_GREETING_MAX)
			return;
		if (targets)
			targets /= 2;
		else if (count > 1)
			count--;
		else
			return;
	}
}

static void make_view(struct ht_load_exchange *ex, ht_ms now)
{
	struct ht_link_receivers receivers;
	struct ht_load_message m;
	struct ht_load_view view;

	ht_load_make_view(ex->params.load, count_live(ex, now), &view, now);
	if (!view.dcs[0].instances)
		return;
	list_members(ex, &receivers, now);
	encode_view(&m, &view, receivers.count);
	m.msg.kind = HT_LOAD_VIEW;
	m.msg.instance = ex->self;
	keep_names(ex, &m.names);
	note_collector(ex, NULL, now);
	ht_load_set_view(ex->params.load, &view, now);
	spread(ex, &m.msg, &receivers);
	ex->params.updated(ex->params.ctx);
}

/* The instance of another data centre that sends its sums, or @first. */
static const struct ht_neighbour *find_peer(const struct ht_load_exchange *ex,
					    const struct ht_neighbour *first, ht_ms now)
{
	for (size_t i = 0; i < ex->peer_count; i++) {
		const struct peer *p = &ex->peers[i];
		const struct ht_neighbour *n;

		if (p->dc != ht_load_key(first->dc) ||
		    !within(p->at, SILENCE(view_interval(ex, now)), now))
			continue;
		n = ht_neighbours_find(ex->params.neighbours, p->instance);
		return n ? n : first;
	}
	return first;
}

static void send_sums(struct ht_load_exchange *ex, ht_ms now)
{
	const struct ht_neighbour *to[HT_REPRESENTATIVES_MAX];
	size_t count = ht_neighbours_first_elsewhere(ex->params.neighbours, to, now);
	struct ht_load_message m;
	struct ht_load_sum sum;
	const struct ht_load_sum *sums[] = {&sum};

	if (!count)
		return;
	ht_load_sum_members(ex->params.load, count_live(ex, now), &sum, now);
	if (!sum.instances)
		return;
	ht_load_encode(&m, sums, 1, HT_LOAD_TARGETS_MAX, NULL);
	m.msg.kind = HT_LOAD_SUM;
	m.msg.instance = ex->self;
	m.msg.pace = own_pace(ex, now);
	for (size_t i = 0; i < count && i < HT_LOAD_DCS_MAX - 1; i++)
		send_to(ex, find_peer(ex, to[i], now)->at, &m.msg);
}

/* An instance that hears of no other one, though there are some, is partitioned or among instances
 * of earlier builds. It does not make a view of its own counts alone. */
static bool hears_others(const struct ht_load_exchange *ex, ht_ms now)
{
	if (ht_load_member_count(ex->params.load, now) ||
	    !ht_neighbours_any_local(ex->params.neighbours, now))
		return true;
	for (size_t i = 0; i < ex->peer_count; i++)
		if (within(ex->peers[i].at, SILENCE(view_interval(ex, now)), now))
			return true;
	return false;
}

static void collect(struct ht_load_exchange *ex, ht_ms now)
{
	if (!is_collecting(ex, now))
		return;
	send_sums(ex, now);
	if (hears_others(ex, now))
		make_view(ex, now);
}

static void send_report(struct ht_load_exchange *ex, const struct ht_load_sum *report,
			const struct ht_neighbour *to, ht_ms now)
{
	/* It knows the names of its own views. */
	bool known = has_collector(ex, now) && ex->collector == (uint32_t)to->id;
	const struct ht_load_sum *sums[] = {report};
	struct ht_load_message m;

	ht_load_encode(&m, sums, 1, HT_LOAD_TARGETS_MAX,
		       known && ex->names[0].dc_count ? &ex->names[0] : NULL);
	m.msg.kind = HT_LOAD_REPORT;
	m.msg.instance = ex->self;
	m.msg.pace = ex->pace;
	send_to(ex, to->at, &m.msg);
}

static void report(struct ht_load_exchange *ex, ht_ms now)
{
	const struct ht_neighbour *to;
	struct ht_load_sum out;

	ht_load_begin_report(ex->params.load);
	ex->params.add_targets(ex->params.ctx, ex->params.load);
	ht_load_end_report(ex->params.load, &out, now);
	to = ex->pace == HT_LOAD_IDLE ? NULL : find_collector(ex, now);
	if (to)
		send_report(ex, &out, to, now);
	if (ht_load_view_age(ex->params.load, now) == HT_NEVER)
		ex->params.updated(ex->params.ctx);
}

static ht_ms next_due(const struct ht_load_exchange *ex)
{
	return ex->report_at < ex->view_at ? ex->report_at : ex->view_at;
}

ht_ms ht_load_exchange_run(struct ht_load_exchange *ex)
{
	ht_ms now = now_of(ex);

	if (now - next_due(ex) >= FROZEN_MS)
		ex->resumed_at = now;
	if (now >= ex->report_at) {
		ex->report_at = now + (is_collecting(ex, now) ? view_interval(ex, now)
							      : interval_of(ex->pace));
		report(ex, now);
	}
	if (now >= ex->view_at) {
		ex->view_at = now + view_interval(ex, now);
		collect(ex, now);
	}
	return next_due(ex);
}

static void arm(struct ht_load_exchange *ex)
{
	ht_ms next = next_due(ex);
	ht_ms now = now_of(ex);

	if (!ex->params.loop)
		return;
	ev_timer_stop(ex->params.loop, &ex->timer);
	ev_timer_set(&ex->timer, next > now ? (double)(next - now) / 1000 : 0, 0);
	ev_timer_start(ex->params.loop, &ex->timer);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_load_exchange *ex = timer->data;

	(void)loop;
	(void)revents;
	ht_load_exchange_run(ex);
	arm(ex);
}

/* The phase of each instance is a different one, so that a collector receives reports one by one.
 */
static ht_ms first_report(const struct ht_load_exchange *ex, ht_ms now)
{
	return now + (ht_ms)(ex->seed % (uint64_t)interval_of(ex->pace));
}

static void start_interval(struct ht_load_exchange *ex, ht_ms now)
{
	ex->report_at = first_report(ex, now);
	ex->view_at = ex->report_at + VIEW_DELAY(interval_of(ex->pace));
	arm(ex);
}

/* The interval has become shorter. Nothing that is due earlier is put off, so that frequent changes
 * of the pace do not delay reports and views. */
static void hasten(struct ht_load_exchange *ex, ht_ms now)
{
	ht_ms report_at = first_report(ex, now);
	ht_ms view_at = report_at + VIEW_DELAY(interval_of(ex->pace));

	if (report_at < ex->report_at)
		ex->report_at = report_at;
	if (view_at < ex->view_at)
		ex->view_at = view_at;
	arm(ex);
}

void ht_load_exchange_set_pace(struct ht_load_exchange *ex, enum ht_load_pace pace)
{
	enum ht_load_pace before = ex->pace;
	ht_ms now = now_of(ex);

	if (pace == before)
		return;
	ex->pace = pace;
	if (before == HT_LOAD_IDLE || !has_collector(ex, now))
		ex->waiting_since = now;
	if (interval_of(pace) < interval_of(before))
		hasten(ex, now);
}

/* A message of an instance that reports at @pace has arrived. Views follow at that pace. */
static void note_heard(struct ht_load_exchange *ex, struct heard *h, uint32_t pace, ht_ms now)
{
	ht_ms latest;

	if (pace == HT_LOAD_IDLE)
		return;
	h->any_at = now;
	if (pace == HT_LOAD_BUSY)
		h->busy_at = now;
	latest = now + view_interval(ex, now);
	if (ex->view_at > latest && is_collecting(ex, now)) {
		ex->report_at = now;
		ex->view_at = latest;
		arm(ex);
	}
}

static void on_report(struct ht_load_exchange *ex, const Ht__EntryLoad *msg,
		      const struct ht_load_view *view, const struct ht_neighbour *sender, ht_ms now)
{
	ht_load_put_report(ex->params.load, sender->id, &view->dcs[0], now);
	ex->reporters[sender->id % REPORTERS] =
		(struct reporter){.instance = (uint32_t)sender->id, .at = now};
	note_heard(ex, &ex->members, msg->pace == HT_LOAD_BUSY ? HT_LOAD_BUSY : HT_LOAD_RELAXED,
		   now);
}

static void note_peer(struct ht_load_exchange *ex, const Ht__EntryLoad *msg, uint32_t dc, ht_ms now)
{
	size_t oldest = 0, i = 0;

	for (; i < ex->peer_count && ex->peers[i].dc != dc; i++)
		if (ex->peers[i].at < ex->peers[oldest].at)
			oldest = i;
	if (i == HT_LOAD_DCS_MAX - 1)
		i = oldest;
	else if (i == ex->peer_count)
		ex->peer_count++;
	ex->peers[i] = (struct peer){.dc = dc, .instance = msg->instance, .at = now};
}

/* A sum that has been forwarded is not forwarded again, as instances may disagree about who
 * collects. */
static void on_sum(struct ht_load_exchange *ex, const Ht__EntryLoad *msg,
		   const struct ht_load_view *view, ht_ms now)
{
	const struct ht_neighbour *collector = find_collector(ex, now);
	Ht__EntryLoad copy = *msg;

	note_peer(ex, msg, view->dcs[0].dc, now);
	note_heard(ex, &ex->others, msg->pace, now);
	ht_load_put_dc(ex->params.load, &view->dcs[0], now);
	if (msg->forwarded || !collector || is_collecting(ex, now))
		return;
	copy.forwarded = true;
	copy.n_pass_on = 0;
	send_to(ex, collector->at, &copy);
}

static void on_view(struct ht_load_exchange *ex, const Ht__EntryLoad *msg,
		    const struct ht_load_view *view, const struct ht_load_names *names,
		    const struct ht_neighbour *sender, ht_ms now)
{
	struct ht_link_receivers receivers = {.count = 0};

	for (size_t i = 0; i < msg->n_pass_on && i < HT_LINK_RELAY_MAX; i++)
		receivers.to[receivers.count++] = ht_link_decode_receiver(msg->pass_on[i]);
	spread(ex, msg, &receivers);
	note_collector(ex, sender, now);
	if (ex->collector == (uint32_t)sender->id)
		keep_names(ex, names);
	ht_load_set_view(ex->params.load, view, now);
	ex->params.updated(ex->params.ctx);
}

static bool dc_is_known(const struct ht_load_exchange *ex, uint32_t dc, ht_ms now)
{
	const struct ht_neighbour *known[HT_REPRESENTATIVES_MAX];
	size_t n = ht_neighbours_first_elsewhere(ex->params.neighbours, known, now);

	for (size_t i = 0; i < n; i++)
		if (ht_load_key(known[i]->dc) == dc)
			return true;
	return false;
}

void ht_load_exchange_receive(struct ht_load_exchange *ex, const Ht__EntryLoad *msg)
{
	const struct ht_neighbour *sender =
		ht_neighbours_find(ex->params.neighbours, msg->instance);
	struct ht_load_names names;
	struct ht_load_view view;
	ht_ms now = now_of(ex);
	bool own;

	if (within(ex->resumed_at, READ_QUEUE_MS, now))
		return;
	if (msg->instance == ex->self || !ht_load_decode(msg, ex->names, NAMES_KEPT, &view, &names))
		return;
	own = view.dcs[0].dc == ex->dc;
	if (msg->kind == HT_LOAD_SUM && view.count == 1 && !own &&
	    (sender ? ht_load_key(sender->dc) == view.dcs[0].dc
		    : dc_is_known(ex, view.dcs[0].dc, now)))
		on_sum(ex, msg, &view, now);
	if (!own || !sender || !sender->local)
		return;
	if (msg->kind == HT_LOAD_REPORT && view.count == 1)
		on_report(ex, msg, &view, sender, now);
	else if (msg->kind == HT_LOAD_VIEW)
		on_view(ex, msg, &view, &names, sender, now);
}

struct ht_load_exchange *ht_load_exchange_new(const struct ht_load_exchange_params *params)
{
	struct ht_load_exchange *ex = calloc(1, sizeof(*ex));
	ht_ms now;

	if (!ex)
		return NULL;
	ex->params = *params;
	ex->seed = ht_hash_str(params->instance);
	ex->self = (uint32_t)ex->seed;
	ex->dc = ht_load_key(params->dc);
	ex->collected_at = HT_NEVER;
	ex->resumed_at = HT_NEVER;
	ex->members = ex->others = (struct heard){.any_at = HT_NEVER, .busy_at = HT_NEVER};
	ev_timer_init(&ex->timer, on_timer, 0, 0);
	ex->timer.data = ex;
	now = now_of(ex);
	ex->waiting_since = now;
	start_interval(ex, now);
	return ex;
}

void ht_load_exchange_free(struct ht_load_exchange *ex)
{
	if (!ex)
		return;
	if (ex->params.loop)
		ev_timer_stop(ex->params.loop, &ex->timer);
	free(ex);
}
