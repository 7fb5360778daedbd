#include "entry/link.h"

#include "entry/snapshot.h"
#include "entry/transfer.h"
#include "wire/entry.pb-c.h"

#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Largest greeting: names of HT_CATALOG_NAME and a few numbers for each known neighbour. */
#define GREETING_MAX 2048

/* Greetings handled in one turn of the loop. */
#define BATCH_MAX 32

struct ht_link {
	struct ht_link_params params;
	struct ht_neighbours *neighbours;
	struct ht_transfer *transfer;
	struct ht_endpoint self;
	int fd;
	ev_io io;
};

static ht_ms now_ms(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

static struct ht_endpoint endpoint_of(const struct ht_addr *addr)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)&addr->ss;

	return (struct ht_endpoint){.ip = ntohl(in->sin_addr.s_addr), .port = ntohs(in->sin_port)};
}

static void set_instance(Ht__EntryInstance *m, const char *name, const char *dc,
			 struct ht_endpoint at)
{
	ht__entry_instance__init(m);
	m->name = (char *)name;
	m->dc = (char *)dc;
	m->ip = at.ip;
	m->port = at.port;
}

static void send_greeting(struct ht_link *link, struct ht_endpoint to, bool answer_wanted)
{
	const struct ht_neighbour *known[HT_GREETING_KNOWN];
	size_t n = ht_neighbours_known(link->neighbours, known, now_ms());
	Ht__EntryInstance self, others[HT_GREETING_KNOWN], *list[HT_GREETING_KNOWN];
	Ht__EntryGreeting msg = HT__ENTRY_GREETING__INIT;
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(to.port),
		.sin_addr.s_addr = htonl(to.ip),
	};
	uint8_t buf[GREETING_MAX];
	struct ht_view_state view;

	link->params.view(link->params.ctx, &view);
	set_instance(&self, link->params.settings->instance, link->params.settings->data_centre,
		     link->self);
	for (size_t i = 0; i < n; i++) {
		set_instance(&others[i], known[i]->name, known[i]->dc, known[i]->at);
		list[i] = &others[i];
	}
	msg.self = &self;
	msg.usable = view.usable;
	msg.routes_revision = view.routes_revision;
	msg.targets_revision = view.targets_revision;
	msg.age_ms = view.age > UINT32_MAX ? UINT32_MAX : (uint32_t)view.age;
	msg.answer_wanted = answer_wanted;
	msg.n_known = n;
	msg.known = list;
	if (ht__entry_greeting__get_packed_size(&msg) > sizeof(buf))
		return;
	/* A greeting that is lost is followed by the next one. */
	(void)sendto(link->fd, buf, ht__entry_greeting__pack(&msg, buf), MSG_NOSIGNAL,
		     (const struct sockaddr *)&sin, sizeof(sin));
}

static void take_greeting(struct ht_link *link, const Ht__EntryGreeting *msg)
{
	const Ht__EntryInstance *self = msg->self;
	struct ht_view_state view = {
		.usable = msg->usable,
		.routes_revision = msg->routes_revision,
		.targets_revision = msg->targets_revision,
		.age = msg->age_ms,
	};
	struct ht_endpoint at;
	ht_ms now = now_ms();

	if (!self || !self->name[0] || !self->port || self->port > UINT16_MAX)
		return;
	at = (struct ht_endpoint){.ip = self->ip, .port = (uint16_t)self->port};
	ht_neighbours_heard(link->neighbours, self->name, self->dc, at, &view, now);
	for (size_t i = 0; i < msg->n_known && i < HT_GREETING_KNOWN; i++) {
		const Ht__EntryInstance *m = msg->known[i];

		ht_neighbours_add(link->neighbours, m->name, m->dc,
				  (struct ht_endpoint){.ip = m->ip, .port = (uint16_t)m->port},
				  now);
	}
	if (msg->answer_wanted)
		send_greeting(link, at, false);
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
		take_greeting(link, msg);
		ht__entry_greeting__free_unpacked(msg, NULL);
	}
	ht_link_refresh(link);
}

static bool write_snapshot(void *ctx, struct ht_buffer *out)
{
	struct ht_link *link = ctx;
	struct ht_view_state view;
	struct ht_err err;

	link->params.view(link->params.ctx, &view);
	if (!view.usable)
		return false;
	if (ht_snapshot_write(out, link->params.catalog, view.targets_revision, now_ms(), &err))
		return true;
	ht_entry_log(link->params.log, HT_EV_SNAPSHOT_FAILED, "reason=\"%s\"", err.text);
	return false;
}

static void on_snapshot(void *ctx, const Ht__EntrySnapshot *snap, const char *error)
{
	struct ht_link *link = ctx;
	size_t changed;

	if (!snap) {
		ht_entry_log(link->params.log, HT_EV_SNAPSHOT_FAILED, "reason=\"%s\"", error);
		return;
	}
	changed = ht_snapshot_apply(link->params.catalog, snap, now_ms(),
				    link->params.hold(link->params.ctx));
	ht_entry_log(link->params.log, HT_EV_SNAPSHOT_APPLIED,
		     "version=%llu targets_revision=%llu changed=%zu",
		     (unsigned long long)snap->routes_version,
		     (unsigned long long)snap->targets_revision, changed);
	link->params.applied(link->params.ctx, snap->targets_revision);
}

void ht_link_refresh(struct ht_link *link)
{
	const struct ht_neighbour *source;
	struct ht_view_state view;

	link->params.view(link->params.ctx, &view);
	source = ht_neighbours_source(link->neighbours, &view, now_ms());
	if (source)
		ht_transfer_fetch(link->transfer, source->at);
}

void ht_link_round(struct ht_link *link)
{
	struct ht_endpoint to[HT_GREETING_FANOUT];
	struct ht_view_state view;
	ht_ms now = now_ms();
	size_t n;

	link->params.view(link->params.ctx, &view);
	ht_neighbours_expire(link->neighbours, now);
	n = ht_neighbours_greet(link->neighbours, to, now);
	for (size_t i = 0; i < n; i++)
		send_greeting(link, to[i], !view.usable);
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
					ht_neighbours_add_address(link->neighbours, at, now_ms());
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
	link->self = endpoint_of(&set->peer_address);
	ht_neighbours_params_default(&nb);
	nb.name = set->instance;
	nb.dc = set->data_centre;
	link->neighbours = ht_neighbours_new(&nb, now_ms());
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
	ht_link_round(link);
	return link;
}

void ht_link_free(struct ht_link *link)
{
	if (!link)
		return;
	ht_transfer_free(link->transfer);
	if (link->fd >= 0) {
		ev_io_stop(link->params.loop, &link->io);
		close(link->fd);
	}
	ht_neighbours_free(link->neighbours);
	free(link);
}
