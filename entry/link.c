#include "base/hash.h"
#include "entry/link_internal.h"
#include "entry/transfer.h"

#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Evidence of targets is collected for this long before it is sent. A dead target costs each
 * flow at least the 200 ms after which a caller retransmits, so the delay hardly matters. */
#define REPORT_DELAY_MS 150

/* Instance sizes are sent in thousandths of a processor core. */
#define SIZE_UNIT 1000

/* Upper estimate of the transit time of a greeting, subtracted from the age of its proofs. */
#define TRANSIT_MS 50

/* Maximum number of seeds; the platform passes three at most. */
#define SEEDS_MAX 16

/* Greetings handled per loop iteration. */
#define BATCH_MAX 32

/* Values of EntryGreeting.view. */
enum {
	VIEW_NONE,
	VIEW_WITHOUT_EVACUATIONS,
	VIEW_FULL
};

static struct ht_endpoint endpoint_from_addr(const struct ht_addr *addr)
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

struct ht_feed *ht_link_feed(struct ht_link *link)
{
	return link->params.feed(link->params.ctx);
}

struct ht_view_state ht_link_view(struct ht_link *link)
{
	struct ht_view_state view;

	ht_feed_view(ht_link_feed(link), &view);
	return view;
}

struct ht_view_id ht_link_view_id(struct ht_link *link)
{
	struct ht_view_state view = ht_link_view(link);

	return (struct ht_view_id){
		.routes = view.routes, .targets = view.targets, .evacuations = view.evacuations};
}

static uint32_t encode_age(ht_ms age)
{
	return age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

static ht_ms decode_age(uint32_t field)
{
	return field == UINT32_MAX ? HT_NEVER : (ht_ms)field;
}

static struct ht_revision decode_revision(uint64_t era, uint64_t behind, uint64_t number)
{
	return (struct ht_revision){.era = behind < era ? era - behind : 0, .number = number};
}

struct ht_view_state ht_link_sender_view(const Ht__EntryGreeting *msg)
{
	return (struct ht_view_state){
		.usable = msg->view != VIEW_NONE,
		.failing = msg->store_failing,
		.era = msg->era,
		.level = msg->reading_level,
		.routes = {msg->routes_version,
			   decode_revision(msg->era, msg->routes_era_behind, msg->routes_revision)},
		.read_to = decode_revision(msg->era, msg->read_era_behind, msg->routes_read_to),
		.targets =
			decode_revision(msg->era, msg->targets_era_behind, msg->targets_revision),
		.evacuations = decode_revision(msg->era, msg->evacuations_era_behind,
					       msg->evacuations_revision),
		/* An instance that does not read evacuations proves nothing about them. */
		.routes_age = msg->view == VIEW_FULL ? decode_age(msg->routes_age_ms) : HT_NEVER,
		.targets_age = decode_age(msg->targets_age_ms),
	};
}

void ht_link_describe_self(struct ht_link *link, Ht__EntryInstance *self)
{
	const struct ht_entry_settings *set = link->params.settings;

	set_instance(self, set->instance, set->data_centre, link->self,
		     (uint32_t)(set->core_share * SIZE_UNIT));
}

void ht_link_describe(struct ht_link *link, Ht__EntryGreeting *msg, Ht__EntryInstance *self)
{
	struct ht_view_state view = ht_link_view(link);

	ht_link_describe_self(link, self);
	msg->self = self;
	msg->view = view.usable ? VIEW_FULL : VIEW_NONE;
	msg->store_failing = view.failing;
	msg->era = view.era;
	msg->reading_level = view.level;
	msg->routes_version = view.routes.version;
	msg->routes_era_behind = view.era - view.routes.revision.era;
	msg->routes_revision = view.routes.revision.number;
	msg->read_era_behind = view.era - view.read_to.era;
	msg->routes_read_to = view.read_to.number;
	msg->targets_era_behind = view.era - view.targets.era;
	msg->targets_revision = view.targets.number;
	if (view.evacuations.number) {
		msg->evacuations_era_behind = view.era - view.evacuations.era;
		msg->evacuations_revision = view.evacuations.number;
	}
	msg->routes_age_ms = encode_age(view.routes_age);
	msg->targets_age_ms = encode_age(view.targets_age);
	msg->clock = ht_logger_stamp(link->params.log);
}

enum ht_link_message ht_link_message_kind(const Ht__EntryGreeting *msg)
{
	if (msg->load)
		return HT_LINK_LOAD;
	if (msg->n_evidence)
		return HT_LINK_EVIDENCE;
	return msg->n_known || msg->answer_wanted ? HT_LINK_GREETING : HT_LINK_ANNOUNCEMENT;
}

/* A lost greeting needs no retransmission: the next one follows soon. */
void ht_link_send(struct ht_link *link, enum ht_link_message kind, struct ht_endpoint to,
		  const uint8_t *data, size_t len)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(to.port),
		.sin_addr.s_addr = htonl(to.ip),
	};

	if (sendto(link->fd, data, len, MSG_NOSIGNAL, (const struct sockaddr *)&sin, sizeof(sin)) <
	    0)
		link->params.stats->unsent++;
	else
		ht_message_count(&link->params.stats->sent[kind], len);
}

/* The greeting lists at most @names other instances. */
static void send_greeting(struct ht_link *link, struct ht_endpoint to, const char *dc, size_t names,
			  bool answer_wanted)
{
	const struct ht_neighbour *known[HT_GREETING_NEIGHBOURS_MAX];
	size_t n = ht_neighbours_to_advertise(link->neighbours, dc, known, names, ht_now());
	Ht__EntryInstance self, others[HT_GREETING_NEIGHBOURS_MAX],
		*list[HT_GREETING_NEIGHBOURS_MAX];
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	uint8_t buf[HT_LINK_GREETING_MAX];

	ht_link_describe(link, &msg, &self);
	for (size_t i = 0; i < n; i++) {
		set_instance(&others[i], known[i]->name, known[i]->dc, known[i]->at,
			     known[i]->size);
		list[i] = &others[i];
	}
	msg.answer_wanted = answer_wanted;
	msg.n_known = n;
	msg.known = list;
	if (ht__entry_greeting__get_packed_size(&msg) <= sizeof(buf))
		ht_link_send(link, HT_LINK_GREETING, to, buf, ht__entry_greeting__pack(&msg, buf));
}

static void on_report_pending(void *ctx)
{
	struct ht_link *link = ctx;

	if (ev_is_active(&link->report_timer))
		return;
	ev_timer_set(&link->report_timer, REPORT_DELAY_MS / 1000.0, 0);
	ev_timer_start(link->params.loop, &link->report_timer);
}

/* Adopts the sender's proofs of the current era for routes and targets of which this instance
 * knows at least as much. */
static void adopt_proofs(struct ht_link *link, const struct ht_view_state *theirs)
{
	struct ht_view_state view = ht_link_view(link);
	ht_ms heard = ht_now() - TRANSIT_MS, routes = HT_NEVER, targets = HT_NEVER;

	if (!theirs->usable || !view.usable)
		return;
	if (theirs->routes_age != HT_NEVER && theirs->read_to.era == view.era &&
	    ht_routes_compare(view.routes, theirs->routes) >= 0 &&
	    !ht_revision_before(view.evacuations, theirs->evacuations)) {
		routes = heard - theirs->routes_age;
		ht_feed_adopt_routes(ht_link_feed(link), theirs->read_to, theirs->level);
		ht_feed_adopt_evacuations(ht_link_feed(link), theirs->read_to, theirs->level);
	}
	if (theirs->targets_age != HT_NEVER && theirs->targets.era == view.era &&
	    !ht_revision_before(view.targets, theirs->targets))
		targets = heard - theirs->targets_age;
	ht_feed_adopt_proofs(ht_link_feed(link), routes, targets);
}

static void apply_neighbour_state(struct ht_link *link, ht_ms now)
{
	struct ht_view_state view = ht_link_view(link);

	ht_neighbours_rotate_readers(link->neighbours, view.targets);
	ht_neighbours_set_level(link->neighbours, view.level);
	ht_feed_defer_listing(ht_link_feed(link),
			      ht_neighbours_can_supply_view(link->neighbours, now));
	ht_feed_set_standby(ht_link_feed(link), ht_neighbours_on_standby(link->neighbours, now),
			    ht_neighbours_reader_rank(link->neighbours, now));
	ht_steering_set_instance_count(link->params.steering,
				       ht_neighbours_local_count(link->neighbours, now));
}

/* Only services that limit the flows of cold targets need it. */
static void share_warmup(struct ht_link *link, ht_ms now)
{
	uint64_t others[HT_LINK_RELAY_MAX];
	size_t count;

	if (!ht_catalog_limits_cold(link->params.catalog) ||
	    !ht_neighbours_settled(link->neighbours, now))
		return;
	count = ht_neighbours_local_names(link->neighbours, others, HT_LINK_RELAY_MAX);
	if (!ht_steering_set_peers(link->params.steering,
				   ht_hash_str(link->params.settings->instance), others, count))
		ht_logger_event(link->params.log, HT_EV_OUT_OF_MEMORY, "object=peers");
}

/* @read: the message names the instance that has read the store. Other greetings may come from
 * an instance whose view of the store is wrong, and do not prove an era. */
static void check_sender_era(struct ht_link *link, const struct ht_view_state *theirs, bool read)
{
	struct ht_view_state view = ht_link_view(link);

	if (!theirs->usable || !view.usable || theirs->era <= view.era ||
	    ht_feed_observe_era(ht_link_feed(link), theirs->era, read))
		return;
	ht_logger_event(link->params.log, HT_EV_ERA_UNPROVEN, "era=%llu present=%llu",
			(unsigned long long)theirs->era, (unsigned long long)view.era);
}

static void handle_greeting(struct ht_link *link, const Ht__EntryGreeting *msg)
{
	const Ht__EntryInstance *self = msg->self;
	struct ht_view_state own = ht_link_view(link);
	struct ht_view_state theirs = ht_link_sender_view(msg);
	struct ht_endpoint at;
	ht_ms now = ht_now();

	if (msg->load) {
		if (link->load_exchange)
			ht_load_exchange_receive(link->load_exchange, msg->load);
		return;
	}
	if (!self || !self->name[0] || !self->port || self->port > UINT16_MAX)
		return;
	at = (struct ht_endpoint){.ip = self->ip, .port = (uint16_t)self->port};
	ht_neighbours_heard(link->neighbours, self->name, self->dc, at, self->size, &theirs, now);
	for (size_t i = 0; i < msg->n_known && i < HT_GREETING_NEIGHBOURS_MAX; i++) {
		const Ht__EntryInstance *m = msg->known[i];

		ht_neighbours_add(link->neighbours, m->name, m->dc,
				  (struct ht_endpoint){.ip = m->ip, .port = (uint16_t)m->port},
				  m->size, now);
	}
	check_sender_era(link, &theirs, msg->reader);
	if (ht_link_accepts(link, theirs.level)) {
		if (msg->changes && own.usable)
			ht_link_apply(link, msg->changes);
		adopt_proofs(link, &theirs);
	}
	for (size_t i = 0; i < msg->n_evidence && i < HT_REPORTS_MAX; i++) {
		const struct ht_report report = {
			.mark = msg->evidence[i]->mark,
			.misses = msg->evidence[i]->misses,
			.errors = msg->evidence[i]->errors,
		};

		ht_steering_apply_report(link->params.steering, &report, now);
	}
	apply_neighbour_state(link, now);
	if (ht_link_message_kind(msg) != HT_LINK_GREETING)
		ht_link_on_announcement(link, msg, at, &own);
	if (msg->answer_wanted)
		send_greeting(link, at, self->dc, HT_GREETING_NEIGHBOURS_MAX, false);
}

static void on_greeting(struct ev_loop *loop, ev_io *io, int revents)
{
	struct ht_link *link = io->data;
	uint8_t buf[HT_LINK_GREETING_MAX];

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
		ht_message_count(&link->params.stats->received[ht_link_message_kind(msg)],
				 (size_t)n);
		ht_logger_merge_stamp(link->params.log, msg->clock);
		handle_greeting(link, msg);
		ht__entry_greeting__free_unpacked(msg, NULL);
	}
	ht_link_refresh(link);
	link->params.changed(link->params.ctx);
}

void ht_link_round(struct ht_link *link)
{
	const struct ht_neighbour *to[HT_GREETING_FANOUT];
	bool unproven = ht_link_view(link).targets_age == HT_NEVER;
	ht_ms now = ht_now();
	size_t n;

	ht_neighbours_expire(link->neighbours, now);
	n = ht_neighbours_greet(link->neighbours, to, now);
	for (size_t i = 0; i < n; i++)
		send_greeting(link, to[i]->at, to[i]->dc,
			      unproven ? HT_GREETING_NEIGHBOURS_MAX : HT_GREETING_NEIGHBOURS_STEADY,
			      unproven);
	apply_neighbour_state(link, now);
	share_warmup(link, now);
	ht_link_refresh(link);
}

static bool open_socket(struct ht_link *link, const struct ht_addr *addr, struct ht_err *err)
{
	char text[HT_ADDR_TEXT];

	link->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (link->fd < 0 || bind(link->fd, (const struct sockaddr *)&addr->ss, addr->len) != 0)
		return ht_err_set(err, HT_EIO, "cannot bind greeting socket to %s: %s",
				  ht_addr_format(addr, text), strerror(errno));
	ev_io_init(&link->io, on_greeting, link->fd, EV_READ);
	link->io.data = link;
	ev_io_start(link->params.loop, &link->io);
	return true;
}

/* Seed addresses carry ports of other services: the instances there listen on the own peer port.
 * Each instance starts with a different seed. */
static void add_seeds(struct ht_link *link)
{
	struct ht_endpoint seeds[SEEDS_MAX];
	const char *p = link->params.settings->seeds;
	char text[HT_ADDR_TEXT];
	size_t count = 0;

	while (p && *p && count < SEEDS_MAX) {
		size_t len = strcspn(p, ",");
		struct ht_addr addr;

		if (len && len < sizeof(text)) {
			memcpy(text, p, len);
			text[len] = '\0';
			if (ht_addr_parse(&addr, text, NULL) && addr.ss.ss_family == AF_INET)
				seeds[count++] = endpoint_from_addr(&addr);
		}
		p += len + (p[len] == ',');
	}
	for (size_t i = 0; i < count; i++) {
		struct ht_endpoint at = seeds[(link->seed + i) % count];

		at.port = link->self.port;
		if (at.ip != link->self.ip)
			ht_neighbours_add_address(link->neighbours, at, ht_now());
	}
}

/* An own view in which a change may be missing for longer than allowed is not better than one of an
 * earlier build. */
static ht_ms accept_after(const struct ht_entry_settings *set)
{
	return (ht_ms)(set->drain_bound > set->config_bound ? set->drain_bound : set->config_bound);
}

static void send_load(void *ctx, struct ht_endpoint to, const uint8_t *data, size_t len)
{
	ht_link_send(ctx, HT_LINK_LOAD, to, data, len);
}

static void add_targets(void *ctx, struct ht_load *load)
{
	struct ht_link *link = ctx;

	link->params.add_targets(link->params.ctx, load);
}

static void on_load_updated(void *ctx)
{
	struct ht_link *link = ctx;

	link->params.load_updated(link->params.ctx);
}

/* Returns false when out of memory. */
static bool start_load_exchange(struct ht_link *link)
{
	const struct ht_entry_settings *set = link->params.settings;

	if (!link->params.load)
		return true;
	link->load_exchange = ht_load_exchange_new(&(struct ht_load_exchange_params){
		.loop = link->params.loop,
		.clock = &ht_clock_monotonic,
		.load = link->params.load,
		.neighbours = link->neighbours,
		.instance = set->instance,
		.dc = set->data_centre,
		.add_targets = add_targets,
		.send = send_load,
		.updated = on_load_updated,
		.ctx = link,
	});
	return link->load_exchange;
}

bool ht_link_set_load(struct ht_link *link, struct ht_load *load)
{
	ht_load_exchange_free(link->load_exchange);
	link->load_exchange = NULL;
	link->params.load = load;
	if (start_load_exchange(link))
		return true;
	link->params.load = NULL;
	return false;
}

void ht_link_set_load_pace(struct ht_link *link, enum ht_load_pace pace)
{
	if (link->load_exchange)
		ht_load_exchange_set_pace(link->load_exchange, pace);
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
	ev_timer_init(&link->report_timer, ht_link_on_report_timer, 0, 0);
	link->report_timer.data = link;
	ev_timer_init(&link->relay.timer, ht_link_on_relay_timer, 0, 0);
	link->relay.timer.data = link;
	link->seed = ht_hash_str(set->instance);
	link->self = endpoint_from_addr(&set->peer_address);
	ht_neighbours_params_default(&nb);
	nb.name = set->instance;
	nb.dc = set->data_centre;
	nb.size = (uint32_t)(set->core_share * SIZE_UNIT);
	nb.accept_after = accept_after(set);
	link->neighbours = ht_neighbours_new(&nb, ht_now());
	if (!link->neighbours || !start_load_exchange(link))
		ht_err_set(err, HT_ENOMEM, "out of memory");
	else if (open_socket(link, &set->peer_address, err))
		link->transfer = ht_transfer_new(
			&(struct ht_transfer_params){
				.loop = params->loop,
				.address = &set->peer_address,
				.write = ht_link_write_snapshot,
				.received = ht_link_on_snapshot,
				.ctx = link,
			},
			err);
	if (!link->transfer) {
		ht_link_free(link);
		return NULL;
	}
	add_seeds(link);
	params->reports->notify = on_report_pending;
	params->reports->ctx = link;
	return link;
}

const struct ht_neighbours *ht_link_others(const struct ht_link *link)
{
	return link->neighbours;
}

size_t ht_link_neighbours(const struct ht_link *link)
{
	return ht_neighbours_count(link->neighbours);
}

void ht_link_free(struct ht_link *link)
{
	if (!link)
		return;
	link->params.reports->notify = NULL;
	ev_timer_stop(link->params.loop, &link->report_timer);
	ev_timer_stop(link->params.loop, &link->relay.timer);
	ht_load_exchange_free(link->load_exchange);
	ht_transfer_free(link->transfer);
	if (link->fd >= 0) {
		ev_io_stop(link->params.loop, &link->io);
		close(link->fd);
	}
	ht_neighbours_free(link->neighbours);
	free(link);
}
