#include "entry/link.h"

#include "base/hash.h"
#include "core/fanout.h"
#include "entry/snapshot.h"
#include "entry/transfer.h"
#include "wire/frame.h"

#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Largest greeting: names of HT_CATALOG_NAME and a few numbers for each known neighbour. */
#define GREETING_MAX 2048

/* Evidence is gathered for this long before it is sent: a dead target costs each flow at least the
 * 200 ms after which a caller sends again, so that little is lost by the delay. */
#define REPORT_DELAY_MS 150

/* Sizes of instances are told in thousandths of a core. */
#define SIZE_UNIT 1000

/* A greeting may have been on its way for this long before it is read. */
#define TRANSIT_MS 50

/* News that is passed on waits this long for the routes that it tells of. */
#define PASS_ON_WAIT_MS 200

/* Instances that one message is passed on to at most; a data centre has no more. */
#define PASS_ON_MAX 1024

/* Greetings handled in one turn of the loop. */
#define BATCH_MAX 32

struct receivers {
	struct ht_endpoint to[PASS_ON_MAX];
	size_t count;
};

/* News from a neighbour that others wait for. */
struct pending_news {
	struct receivers receivers;
	uint64_t base;		  /* revision of the targets that they know */
	uint64_t routes_revision; /* of the routes that the news tells of */
	ev_timer timer;
};

struct ht_link {
	struct ht_link_params params;
	struct ht_neighbours *neighbours;
	struct ht_transfer *transfer;
	struct ht_endpoint self;
	uint64_t announced; /* revision of the targets in the last announcement */
	int fd;
	ev_io io;
	ev_timer report_timer;
	uint64_t seed, announcements;
	struct pending_news news;
};

static struct ht_endpoint endpoint_of(const struct ht_addr *addr)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)&addr->ss;

	return (struct ht_endpoint){.ip = ntohl(in->sin_addr.s_addr), .port = ntohs(in->sin_port)};
}

static void set_instance(Ht__EntryInstance *m, const char *name, const char *dc,
			 struct ht_endpoint at, uint32_t size)
{
	ht__entry_instance__init(m);
	m->name = (char *)name;
	m->dc = (char *)dc;
	m->ip = at.ip;
	m->port = at.port;
	m->size = size;
}

static struct ht_feed *feed_of(struct ht_link *link)
{
	return link->params.feed(link->params.ctx);
}

static struct ht_view_state view_of(struct ht_link *link)
{
	struct ht_view_state view;

	ht_feed_view(feed_of(link), &view);
	return view;
}

static uint32_t age_field(ht_ms age)
{
	return age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

static ht_ms age_of(uint32_t field)
{
	return field == UINT32_MAX ? HT_NEVER : (ht_ms)field;
}

/* Fills @msg, and @self for it, with what this instance says of itself in every greeting. */
static void describe(struct ht_link *link, Ht__EntryGreeting *msg, Ht__EntryInstance *self)
{
	const struct ht_entry_settings *set = link->params.settings;
	struct ht_view_state view = view_of(link);

	set_instance(self, set->instance, set->data_centre, link->self,
		     (uint32_t)(set->core_share * SIZE_UNIT));
	msg->self = self;
	msg->usable = view.usable;
	msg->routes_revision = view.routes_revision;
	msg->routes_read_to = view.routes_read_to;
	msg->targets_revision = view.targets_revision;
	msg->routes_age_ms = age_field(view.routes_age);
	msg->targets_age_ms = age_field(view.targets_age);
	msg->clock = ht_logger_stamp(link->params.log);
}

/* A greeting that is lost is followed by the next one. */
static void send_to(struct ht_link *link, struct ht_endpoint to, const uint8_t *data, size_t len)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(to.port),
		.sin_addr.s_addr = htonl(to.ip),
	};

	(void)sendto(link->fd, data, len, MSG_NOSIGNAL, (const struct sockaddr *)&sin, sizeof(sin));
}

static void send_greeting(struct ht_link *link, struct ht_endpoint to, const char *dc,
			  bool answer_wanted)
{
	const struct ht_neighbour *known[HT_GREETING_KNOWN];
	size_t n = ht_neighbours_known(link->neighbours, dc, known, ht_now());
	Ht__EntryInstance self, others[HT_GREETING_KNOWN], *list[HT_GREETING_KNOWN];
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	uint8_t buf[GREETING_MAX];

	describe(link, &msg, &self);
	for (size_t i = 0; i < n; i++) {
		set_instance(&others[i], known[i]->name, known[i]->dc, known[i]->at,
			     known[i]->size);
		list[i] = &others[i];
	}
	msg.answer_wanted = answer_wanted;
	msg.n_known = n;
	msg.known = list;
	if (ht__entry_greeting__get_packed_size(&msg) <= sizeof(buf))
		send_to(link, to, buf, ht__entry_greeting__pack(&msg, buf));
}

static void send_copy(struct ht_link *link, Ht__EntryGreeting *msg,
		      const struct ht_fanout_group *group)
{
	uint64_t pass_on[PASS_ON_MAX];
	uint8_t buf[GREETING_MAX];
	Ht__EntrySnapshot *changes = msg->changes;

	for (size_t i = 1; i < group->count; i++)
		pass_on[i - 1] = (uint64_t)group->to[i].ip << 16 | group->to[i].port;
	msg->n_pass_on = group->count - 1;
	msg->pass_on = pass_on;
	/* What does not fit is fetched. */
	if (ht__entry_greeting__get_packed_size(msg) > sizeof(buf))
		msg->changes = NULL;
	if (ht__entry_greeting__get_packed_size(msg) <= sizeof(buf))
		send_to(link, group->to[0], buf, ht__entry_greeting__pack(msg, buf));
	msg->changes = changes;
	msg->n_pass_on = 0;
	msg->pass_on = NULL;
}

/* Sends @msg, filled in but for what this instance says of itself, to all of @receivers. */
static void announce(struct ht_link *link, Ht__EntryGreeting *msg,
		     const struct receivers *receivers, uint64_t base)
{
	struct ht_view_state view = view_of(link);
	struct ht_fanout_group groups[HT_FANOUT];
	struct ht_snapshot *changes = NULL;
	Ht__EntryInstance self;
	size_t n = ht_fanout_split(receivers->to, receivers->count, groups);

	describe(link, msg, &self);
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

static void add_receiver(void *ctx, const struct ht_neighbour *n)
{
	struct receivers *r = ctx;

	if (r->count < PASS_ON_MAX)
		r->to[r->count++] = n->at;
}

static void local_receivers(struct ht_link *link, struct receivers *r)
{
	r->count = 0;
	ht_neighbours_each_local(link->neighbours, ht_now(), add_receiver, r);
	ht_fanout_shuffle(r->to, r->count, link->seed + link->announcements++);
}

void ht_link_announce(struct ht_link *link)
{
	struct ht_view_state view = view_of(link);
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	struct receivers receivers;

	if (!view.usable)
		return;
	local_receivers(link, &receivers);
	announce(link, &msg, &receivers, link->announced);
	link->announced = view.targets_revision;
}

static void on_report_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_link *link = timer->data;
	struct ht_reports *reports = link->params.reports;
	Ht__EntryEvidence evidence[HT_REPORTS_MAX], *list[HT_REPORTS_MAX];
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	struct receivers receivers;

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
static void pass_on_pending(struct ht_link *link)
{
	struct pending_news *news = &link->news;
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;

	ev_timer_stop(link->params.loop, &news->timer);
	if (news->receivers.count)
		announce(link, &msg, &news->receivers, news->base);
	news->receivers.count = 0;
}

static void on_news_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	pass_on_pending(timer->data);
}

/* Passes @msg on as it came, for one that knows less than it tells. */
static void pass_on_unchanged(struct ht_link *link, const Ht__EntryGreeting *msg,
			      const struct receivers *receivers)
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
static void pass_on(struct ht_link *link, const Ht__EntryGreeting *msg)
{
	struct pending_news *news = &link->news;
	uint64_t base = msg->changes ? msg->changes->base_revision : 0;
	struct ht_view_state view = view_of(link);
	struct receivers *r = &news->receivers;

	pass_on_pending(link);
	for (size_t i = 0; i < msg->n_pass_on && i < PASS_ON_MAX; i++)
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

static void on_report(void *ctx)
{
	struct ht_link *link = ctx;

	if (ev_is_active(&link->report_timer))
		return;
	ev_timer_set(&link->report_timer, REPORT_DELAY_MS / 1000.0, 0);
	ev_timer_start(link->params.loop, &link->report_timer);
}

static size_t apply(struct ht_link *link, const Ht__EntrySnapshot *msg)
{
	struct ht_feed *feed = feed_of(link);
	size_t changed = ht_snapshot_apply(link->params.catalog, msg, ht_now(), ht_feed_hold(feed));

	if (msg->has_routes)
		ht_feed_adopt_routes(feed, msg->routes_revision);
	ht_feed_adopt_targets(feed, msg->targets_revision);
	return changed;
}

/* What the sender has proven holds here too, as far as this instance knows as much as it does. */
static void learn(struct ht_link *link, const Ht__EntryGreeting *msg)
{
	struct ht_view_state view = view_of(link);
	ht_ms heard = ht_now() - TRANSIT_MS, routes = HT_NEVER, targets = HT_NEVER;

	if (!msg->usable || !view.usable)
		return;
	if (msg->routes_age_ms != UINT32_MAX && view.routes_revision >= msg->routes_revision) {
		routes = heard - msg->routes_age_ms;
		ht_feed_adopt_routes(feed_of(link), msg->routes_read_to);
	}
	if (msg->targets_age_ms != UINT32_MAX && view.targets_revision >= msg->targets_revision)
		targets = heard - msg->targets_age_ms;
	ht_feed_learn(feed_of(link), routes, targets);
}

static void follow_neighbours(struct ht_link *link, ht_ms now)
{
	ht_feed_set_patient(feed_of(link), ht_neighbours_helpful(link->neighbours, now));
	ht_feed_set_standby(feed_of(link), ht_neighbours_covered(link->neighbours, now));
	ht_steering_set_sharers(link->params.steering,
				ht_neighbours_local_count(link->neighbours, now));
}

static void take_greeting(struct ht_link *link, const Ht__EntryGreeting *msg)
{
	const Ht__EntryInstance *self = msg->self;
	struct ht_view_state own = view_of(link);
	struct ht_view_state view = {
		.usable = msg->usable,
		.routes_revision = msg->routes_revision,
		.targets_revision = msg->targets_revision,
		.routes_age = age_of(msg->routes_age_ms),
		.targets_age = age_of(msg->targets_age_ms),
	};
	struct ht_endpoint at;
	ht_ms now = ht_now();

	if (!self || !self->name[0] || !self->port || self->port > UINT16_MAX)
		return;
	at = (struct ht_endpoint){.ip = self->ip, .port = (uint16_t)self->port};
	ht_neighbours_heard(link->neighbours, self->name, self->dc, at, self->size, &view, now);
	for (size_t i = 0; i < msg->n_known && i < HT_GREETING_KNOWN; i++) {
		const Ht__EntryInstance *m = msg->known[i];

		ht_neighbours_add(link->neighbours, m->name, m->dc,
				  (struct ht_endpoint){.ip = m->ip, .port = (uint16_t)m->port},
				  now);
	}
	if (msg->changes && own.usable && msg->targets_revision > own.targets_revision &&
	    ht_snapshot_fits(msg->changes, own.targets_revision))
		apply(link, msg->changes);
	learn(link, msg);
	for (size_t i = 0; i < msg->n_evidence && i < HT_REPORTS_MAX; i++) {
		const struct ht_report report = {
			.mark = msg->evidence[i]->mark,
			.misses = msg->evidence[i]->misses,
			.errors = msg->evidence[i]->errors,
		};

		ht_steering_hear(link->params.steering, &report, now);
	}
	follow_neighbours(link, now);
	if (msg->n_pass_on)
		pass_on(link, msg);
	if (msg->answer_wanted)
		send_greeting(link, at, self->dc, false);
}

static void on_greeting(struct ev_loop *loop, ev_io *io, int revents)
{
	struct ht_link *link = io->data;
	uint8_t buf[GREETING_MAX];

	(void)loop;
	(void)revents;
	for (int i = 0; i < BATCH_MAX; i++) {
		ssize_t n = recv(link->fd, buf, sizeof(buf), 0);
		Ht__EntryGreeting *msg;

		if (n < 0)
			break;
		msg = ht__entry_greeting__unpack(NULL, (size_t)n, buf);
		if (!msg)
			continue;
		ht_logger_receive(link->params.log, msg->clock);
		take_greeting(link, msg);
		ht__entry_greeting__free_unpacked(msg, NULL);
	}
	ht_link_refresh(link);
	link->params.changed(link->params.ctx);
}

static bool write_snapshot(void *ctx, const Ht__EntrySnapshotRequest *request,
			   struct ht_buffer *out)
{
	struct ht_link *link = ctx;
	struct ht_view_state view = view_of(link);
	struct ht_snapshot *snap;
	struct ht_err err = {.text = "out of memory"};
	bool ok;

	if (!view.usable)
		return false;
	snap = ht_snapshot_new(link->params.catalog, request->routes_revision,
			       request->targets_revision, view.targets_revision, ht_now());
	if (snap)
		ht_snapshot_message(snap)->clock = ht_logger_stamp(link->params.log);
	ok = snap && ht_frame_put(out, &ht_snapshot_message(snap)->base, &err);
	ht_snapshot_free(snap);
	if (!ok)
		ht_logger_event(link->params.log, HT_EV_SNAPSHOT_FAILED, "reason=\"%s\"", err.text);
	return ok;
}

static void on_snapshot(void *ctx, const Ht__EntrySnapshot *msg, const char *error)
{
	struct ht_link *link = ctx;
	size_t changed;

	if (!msg) {
		ht_logger_event(link->params.log, HT_EV_SNAPSHOT_FAILED, "reason=\"%s\"", error);
		return;
	}
	ht_logger_receive(link->params.log, msg->clock);
	if (!ht_snapshot_fits(msg, view_of(link).targets_revision))
		return;
	changed = apply(link, msg);
	ht_logger_event(link->params.log, HT_EV_SNAPSHOT_APPLIED,
			"version=%llu targets_revision=%llu base=%llu changed=%zu",
			(unsigned long long)msg->routes_version,
			(unsigned long long)msg->targets_revision,
			(unsigned long long)msg->base_revision, changed);
	if (view_of(link).routes_revision >= link->news.routes_revision)
		pass_on_pending(link);
	link->params.changed(link->params.ctx);
}

void ht_link_refresh(struct ht_link *link)
{
	Ht__EntrySnapshotRequest request = HT__ENTRY_SNAPSHOT_REQUEST__INIT;
	struct ht_view_state view = view_of(link);
	const struct ht_neighbour *source = ht_neighbours_source(link->neighbours, &view, ht_now());

	if (!source)
		return;
	request.routes_revision = view.routes_revision;
	request.targets_revision = view.usable ? view.targets_revision : 0;
	ht_transfer_fetch(link->transfer, source->at, &request);
}

void ht_link_round(struct ht_link *link)
{
	const struct ht_neighbour *to[HT_GREETING_FANOUT];
	struct ht_view_state view = view_of(link);
	ht_ms now = ht_now();
	size_t n;

	ht_neighbours_expire(link->neighbours, now);
	n = ht_neighbours_greet(link->neighbours, to, now);
	for (size_t i = 0; i < n; i++)
		send_greeting(link, to[i]->at, to[i]->dc, view.targets_age == HT_NEVER);
	follow_neighbours(link, now);
	ht_link_refresh(link);
}

static bool open_socket(struct ht_link *link, const struct ht_addr *addr, struct ht_err *err)
{
	char text[HT_ADDR_TEXT];

	link->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (link->fd < 0 || bind(link->fd, (const struct sockaddr *)&addr->ss, addr->len) != 0)
		return ht_err_set(err, HT_EIO, "greetings at %s: %s", ht_addr_format(addr, text),
				  strerror(errno));
	ev_io_init(&link->io, on_greeting, link->fd, EV_READ);
	link->io.data = link;
	ev_io_start(link->params.loop, &link->io);
	return true;
}

/* Seeds are addresses of other purposes: the instances there listen at the own peer port. */
static void add_seeds(struct ht_link *link)
{
	const char *p = link->params.settings->seeds;
	char text[HT_ADDR_TEXT];

	while (p && *p) {
		size_t len = strcspn(p, ",");
		struct ht_addr addr;

		if (len && len < sizeof(text)) {
			memcpy(text, p, len);
			text[len] = '\0';
			if (ht_addr_parse(&addr, text, NULL) && addr.ss.ss_family == AF_INET) {
				struct ht_endpoint at = endpoint_of(&addr);

				at.port = link->self.port;
				if (at.ip != link->self.ip)
					ht_neighbours_add_address(link->neighbours, at, ht_now());
			}
		}
		p += len + (p[len] == ',');
	}
}

struct ht_link *ht_link_new(const struct ht_link_params *params, struct ht_err *err)
{
	const struct ht_entry_settings *set = params->settings;
	struct ht_link *link = calloc(1, sizeof(*link));
	struct ht_neighbours_params nb;

	if (!link) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	link->params = *params;
	link->fd = -1;
	ev_timer_init(&link->report_timer, on_report_timer, 0, 0);
	link->report_timer.data = link;
	ev_timer_init(&link->news.timer, on_news_timer, 0, 0);
	link->news.timer.data = link;
	link->seed = ht_hash_str(set->instance);
	link->self = endpoint_of(&set->peer_address);
	ht_neighbours_params_default(&nb);
	nb.name = set->instance;
	nb.dc = set->data_centre;
	nb.size = (uint32_t)(set->core_share * SIZE_UNIT);
	link->neighbours = ht_neighbours_new(&nb, ht_now());
	if (!link->neighbours)
		ht_err_set(err, HT_ENOMEM, "out of memory");
	else if (open_socket(link, &set->peer_address, err))
		link->transfer = ht_transfer_new(
			&(struct ht_transfer_params){
				.loop = params->loop,
				.address = &set->peer_address,
				.write = write_snapshot,
				.received = on_snapshot,
				.ctx = link,
			},
			err);
	if (!link->transfer) {
		ht_link_free(link);
		return NULL;
	}
	add_seeds(link);
	params->reports->pending = on_report;
	params->reports->ctx = link;
	return link;
}

size_t ht_link_neighbours(const struct ht_link *link)
{
	return ht_neighbours_count(link->neighbours);
}

void ht_link_free(struct ht_link *link)
{
	if (!link)
		return;
	link->params.reports->pending = NULL;
	ev_timer_stop(link->params.loop, &link->report_timer);
	ev_timer_stop(link->params.loop, &link->news.timer);
	ht_transfer_free(link->transfer);
	if (link->fd >= 0) {
		ev_io_stop(link->params.loop, &link->io);
		close(link->fd);
	}
	ht_neighbours_free(link->neighbours);
	free(link);
}
