/* Announces results of store reads and evidence of targets to other instances, and relays
 * announcements received from them. */
#include "base/hash.h"
#include "core/fanout.h"
#include "entry/link_internal.h"
#include "entry/snapshot.h"

#include <stdio.h>
#include <string.h>

/* Longest time an announcement waits before it is relayed, until this instance knows its
 * contents: a few fetches of a large view. */
#define RELAY_WAIT_MS 500

/* Delay before the source is asked again, in case it refused the fetch or was busy. */
#define RELAY_RETRY_MS 100

/* Bit of the encoded receiver, see EntryGreeting.pass_on in wire/entry.proto. */
#define FOR_DC_BIT 48

uint64_t ht_link_encode_receiver(const struct ht_fanout_receiver *r)
{
	return (uint64_t)r->for_dc << FOR_DC_BIT | (uint64_t)r->at.ip << 16 | r->at.port;
}

struct ht_fanout_receiver ht_link_decode_receiver(uint64_t field)
{
	return (struct ht_fanout_receiver){
		.at = {.ip = (uint32_t)(field >> 16), .port = (uint16_t)field},
		.for_dc = field >> FOR_DC_BIT & 1,
	};
}

static void send_copy(struct ht_link *link, Ht__EntryGreeting *msg,
		      const struct ht_fanout_group *group)
{
	uint64_t pass_on[HT_LINK_RELAY_MAX];
	uint8_t buf[HT_LINK_GREETING_MAX];
	Ht__EntrySnapshot *changes = msg->changes;

	for (size_t i = 1; i < group->count; i++)
		pass_on[i - 1] = ht_link_encode_receiver(&group->to[i]);
	msg->to_dc = group->to[0].for_dc;
	msg->n_pass_on = group->count - 1;
	msg->pass_on = pass_on;
	/* Changes that do not fit into the datagram are left out; the receiver fetches them. */
	if (ht__entry_greeting__get_packed_size(msg) > sizeof(buf))
		msg->changes = NULL;
	if (ht__entry_greeting__get_packed_size(msg) <= sizeof(buf))
		ht_link_send(link, ht_link_message_kind(msg), group->to[0].at, buf,
			     ht__entry_greeting__pack(msg, buf));
	msg->changes = changes;
	msg->n_pass_on = 0;
	msg->pass_on = NULL;
	msg->to_dc = false;
}

/* Changes since @base, which the receivers know. NULL if there are none or they cannot be told
 * as a difference. */
static struct ht_snapshot *changes_since(struct ht_link *link, const struct ht_view_id *base)
{
	struct ht_view_id view = ht_link_view_id(link), have = *base;
	bool routes = ht_routes_compare(view.routes, base->routes) > 0 &&
		      ht_catalog_routes_number(link->params.catalog, base->routes.revision);

	if (!base->targets.number || (!ht_revision_before(base->targets, view.targets) && !routes &&
				      !ht_revision_before(base->evacuations, view.evacuations)))
		return NULL;
	if (!routes)
		have.routes = HT_ROUTES_NEVER;
	return ht_snapshot_new(link->params.catalog, &have, view.targets, ht_now());
}

struct receiver_lists {
	struct ht_link_receivers *fresh, old;
};

static void add_receiver(void *ctx, const struct ht_neighbour *n, bool fresh)
{
	struct receiver_lists *lists = ctx;
	struct ht_link_receivers *r = fresh ? lists->fresh : &lists->old;

	if (r->count < HT_LINK_RELAY_MAX)
		r->to[r->count++].at = n->at;
}

/* Adds the instances of the own data centre. Those that may be gone come last, so that no other
 * receiver depends on them. */
static void add_local(struct ht_link *link, struct ht_link_receivers *r)
{
	struct receiver_lists lists = {.fresh = r, .old.count = 0};
	uint64_t seed = link->seed + link->announcements++;
	size_t first = r->count;

	ht_neighbours_each_local(link->neighbours, ht_now(), add_receiver, &lists);
	ht_fanout_shuffle(r->to + first, r->count - first, seed);
	ht_fanout_shuffle(lists.old.to, lists.old.count, seed);
	for (size_t i = 0; i < lists.old.count && r->count < HT_LINK_RELAY_MAX; i++)
		r->to[r->count++] = lists.old.to[i];
}

/* Adds one instance of each other data centre, which relays the message there. */
static void add_representatives(struct ht_link *link, struct ht_link_receivers *r)
{
	const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX];
	size_t n = ht_neighbours_representatives(link->neighbours, link->seed + link->announcements,
						 out, ht_now());

	for (size_t i = 0; i < n && r->count < HT_LINK_RELAY_MAX; i++)
		r->to[r->count++] = (struct ht_fanout_receiver){.at = out[i]->at, .for_dc = true};
}

/* Sends @msg to all @receivers, after adding the description of this instance and the changes
 * since @base. */
static void send_announcement(struct ht_link *link, Ht__EntryGreeting *msg,
			      const struct ht_link_receivers *receivers,
			      const struct ht_view_id *base)
{
	struct ht_snapshot *changes = changes_since(link, base);
	struct ht_fanout_group groups[HT_FANOUT];
	Ht__EntryInstance self;
	size_t n;

	ht_link_describe(link, msg, &self);
	if (changes && ht_snapshot_message(changes)->base_revision) {
		msg->changes = ht_snapshot_message(changes);
		msg->changes->reading_level = msg->reading_level;
	}
	n = ht_fanout_split(receivers->to, receivers->count,
			    ht_fanout_copies(ht__entry_greeting__get_packed_size(msg)), groups);
	for (size_t i = 0; i < n; i++)
		send_copy(link, msg, &groups[i]);
	msg->changes = NULL;
	msg->self = NULL;
	ht_snapshot_free(changes);
}

static void note_announced(struct ht_link *link, const struct ht_view_id *view)
{
	struct ht_view_id *announced = &link->announced;

	announced->targets = ht_revision_max(announced->targets, view->targets);
	announced->evacuations = ht_revision_max(announced->evacuations, view->evacuations);
	if (ht_routes_compare(view->routes, announced->routes) > 0)
		announced->routes = view->routes;
}

static void set_reader(Ht__EntryInstance *reader, char *name, uint32_t size)
{
	ht__entry_instance__init(reader);
	reader->name = name;
	reader->size = size;
}

/* @read: this instance has read the store exactly and is named as the reader. */
static void announce_view(struct ht_link *link, bool read, bool all_dcs)
{
	struct ht_view_id base = link->announced, view = ht_link_view_id(link);
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	struct ht_link_receivers receivers = {.count = 0};
	Ht__EntryInstance self, reader;

	if (!ht_link_view(link).usable)
		return;
	add_local(link, &receivers);
	if (all_dcs)
		add_representatives(link, &receivers);
	if (read) {
		ht_link_describe_self(link, &self);
		set_reader(&reader, self.name, self.size);
		msg.reader = &reader;
	}
	send_announcement(link, &msg, &receivers, &base);
	note_announced(link, &view);
}

/* A standby instance that reads because announcements are late announces the result only if
 * those of the reader have not come at all. */
void ht_link_announce_read(struct ht_link *link)
{
	struct ht_feed *feed = ht_link_feed(link);

	if (!ht_link_view(link).standby ||
	    ht_neighbours_announcement_age(link->neighbours, ht_now()) >=
		    ht_feed_standby_read_age(feed))
		announce_view(link, true, true);
}

void ht_link_announce_view(struct ht_link *link, bool all_dcs)
{
	announce_view(link, false, all_dcs);
}

static void announce_evidence(struct ht_link *link, size_t n, Ht__EntryEvidence **evidence,
			      const struct ht_link_receivers *receivers)
{
	const struct ht_view_id none = {0};
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;

	msg.n_evidence = n;
	msg.evidence = evidence;
	send_announcement(link, &msg, receivers, &none);
}

void ht_link_on_report_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_link *link = timer->data;
	struct ht_reports *reports = link->params.reports;
	Ht__EntryEvidence evidence[HT_REPORTS_MAX], *list[HT_REPORTS_MAX];
	struct ht_link_receivers receivers = {.count = 0};
	size_t n = reports->count;

	(void)loop;
	(void)revents;
	for (size_t i = 0; i < n; i++) {
		ht__entry_evidence__init(&evidence[i]);
		evidence[i].mark = reports->list[i].mark;
		evidence[i].misses = reports->list[i].misses;
		evidence[i].errors = reports->list[i].errors;
		list[i] = &evidence[i];
	}
	reports->count = 0;
	add_local(link, &receivers);
	announce_evidence(link, n, list, &receivers);
}

static bool note_reader(struct ht_link *link, const Ht__EntryInstance *reader)
{
	if (!reader || !reader->name[0])
		return false;
	ht_neighbours_heard_reader(link->neighbours, reader->name, reader->size, ht_now());
	return true;
}

static void set_relay_reader(struct ht_link *link, const Ht__EntryInstance *reader)
{
	struct ht_link_reader *r = &link->relay.reader;

	*r = (struct ht_link_reader){0};
	if (!note_reader(link, reader))
		return;
	snprintf(r->name, sizeof(r->name), "%s", reader->name);
	r->size = reader->size;
}

static void collect_receivers(struct ht_link *link, const Ht__EntryGreeting *msg,
			      struct ht_link_receivers *r)
{
	r->count = 0;
	if (msg->to_dc)
		add_local(link, r);
	for (size_t i = 0; i < msg->n_pass_on && r->count < HT_LINK_RELAY_MAX; i++)
		r->to[r->count++] = ht_link_decode_receiver(msg->pass_on[i]);
}

/* Relays @msg as received, because an instance without a view has nothing to add. */
static void relay_unchanged(struct ht_link *link, const Ht__EntryGreeting *msg,
			    const struct ht_link_receivers *receivers)
{
	struct ht_fanout_group groups[HT_FANOUT];
	Ht__EntryGreeting copy = *msg;
	size_t n =
		ht_fanout_split(receivers->to, receivers->count,
				ht_fanout_copies(ht__entry_greeting__get_packed_size(msg)), groups);

	for (size_t i = 0; i < n; i++)
		send_copy(link, &copy, &groups[i]);
}

static bool behind_announcement(struct ht_link *link)
{
	struct ht_view_id view = ht_link_view_id(link), *theirs = &link->relay.view;

	return ht_revision_before(view.targets, theirs->targets) ||
	       ht_revision_before(view.evacuations, theirs->evacuations) ||
	       ht_routes_compare(view.routes, theirs->routes) < 0;
}

/* Relays the announcement with this instance as its sender, so that receivers fetch what does
 * not fit into the message from here rather than all from the instance that has read the store. */
static void relay_announcement(struct ht_link *link)
{
	struct ht_link_relay *relay = &link->relay;
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	Ht__EntryInstance reader;

	ev_timer_stop(link->params.loop, &relay->timer);
	if (relay->reader.name[0]) {
		set_reader(&reader, relay->reader.name, relay->reader.size);
		msg.reader = &reader;
	}
	if (relay->receivers.count)
		send_announcement(link, &msg, &relay->receivers, &relay->base);
	relay->receivers.count = 0;
}

void ht_link_relay_if_known(struct ht_link *link)
{
	if (ev_is_active(&link->relay.timer) && !behind_announcement(link))
		relay_announcement(link);
}

static void arm_relay_timer(struct ht_link *link)
{
	ev_timer_set(&link->relay.timer, RELAY_RETRY_MS / 1000.0, 0);
	ev_timer_start(link->params.loop, &link->relay.timer);
}

void ht_link_on_relay_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_link *link = timer->data;

	(void)loop;
	(void)revents;
	if (ht_now() >= link->relay.deadline) {
		relay_announcement(link);
		return;
	}
	arm_relay_timer(link);
	ht_link_fetch(link, link->relay.source);
}

void ht_link_on_announcement(struct ht_link *link, const Ht__EntryGreeting *msg,
			     struct ht_endpoint from, const struct ht_view_state *before)
{
	struct ht_link_relay *relay = &link->relay;
	struct ht_view_state theirs = ht_link_sender_view(msg), after = ht_link_view(link);

	if (msg->n_evidence) {
		struct ht_link_receivers receivers;

		collect_receivers(link, msg, &receivers);
		announce_evidence(link, msg->n_evidence, msg->evidence, &receivers);
		return;
	}
	if (!ht_link_accepts(link, theirs.level)) {
		struct ht_link_receivers receivers;

		/* Instances of earlier builds may depend on it. */
		collect_receivers(link, msg, &receivers);
		relay_unchanged(link, msg, &receivers);
		return;
	}
	after.targets = ht_revision_max(after.targets, theirs.targets);
	after.evacuations = ht_revision_max(after.evacuations, theirs.evacuations);
	if (ht_routes_compare(theirs.routes, after.routes) > 0)
		after.routes = theirs.routes;
	if (!ht_view_improves(before, &after)) {
		note_reader(link, msg->reader);
		return;
	}
	if (ev_is_active(&relay->timer))
		relay_announcement(link);
	set_relay_reader(link, msg->reader);
	collect_receivers(link, msg, &relay->receivers);
	if (!ht_link_view(link).usable) {
		relay_unchanged(link, msg, &relay->receivers);
		relay->receivers.count = 0;
		return;
	}
	relay->source = from;
	relay->view = (struct ht_view_id){.routes = theirs.routes,
					  .targets = theirs.targets,
					  .evacuations = theirs.evacuations};
	relay->base = msg->changes ? ht_snapshot_base(msg->changes) : (struct ht_view_id){0};
	if (msg->to_dc || strcmp(msg->self->dc, link->params.settings->data_centre) == 0)
		note_announced(link, &relay->view);
	if (!behind_announcement(link)) {
		relay_announcement(link);
		return;
	}
	relay->deadline = ht_now() + RELAY_WAIT_MS;
	arm_relay_timer(link);
	ht_link_fetch(link, from);
}
