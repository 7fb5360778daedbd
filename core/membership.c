#include "core/members.h"

#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

/* Interval between requests for the full list while none is known, in ms. */
#define LIST_REQUEST_SPACING_MS 1000

/* Ticks further apart than a heartbeat interval plus this, in ms, mean the process was paused. */
#define PAUSE_MS 500

static const struct ht_router_if *router_of(const struct ht_membership *m)
{
	return ht_registry_find(m->env->registry, "router");
}

/* Ends the grant of @p: its earlier votes, and its replies to earlier claims, become invalid. */
static void end_grant(struct ht_membership *m, struct ht_member *p)
{
	p->lease_until = 0;
	p->generation++;
	p->min_epoch = ++m->epoch;
	m->next_check = 0;
}

static void end_grant_if_lapsed(struct ht_membership *m, struct ht_member *p)
{
	if (p->lease_until != 0 && m->env->now >= p->lease_until)
		end_grant(m, p);
}

static ht_ms min_ms(ht_ms a, ht_ms b)
{
	return a < b ? a : b;
}

static ht_ms max_ms(ht_ms a, ht_ms b)
{
	return a > b ? a : b;
}

static uint64_t config_version(const struct ht_membership *m)
{
	const struct ht_config_if *config = ht_registry_find(m->env->registry, "config");
	const struct ht_config *cfg = config ? config->current(config->ctx) : NULL;

	return cfg ? cfg->version : 0;
}

static void send_heartbeat(struct ht_membership *m, struct ht_member *p, uint64_t version)
{
	const struct ht_heartbeat_round *round = &m->rounds[m->sequence % HT_HEARTBEAT_ROUNDS];
	Ht__Heartbeat heartbeat = HT__HEARTBEAT__INIT;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;

	heartbeat.sequence = m->sequence;
	heartbeat.lease_ms = (uint32_t)round->lease;
	if (p->incarnation && m->env->now >= p->echo_after) {
		heartbeat.echo = p->heard_sequence;
		heartbeat.echo_incarnation = p->incarnation;
	}
	heartbeat.config_version = version;
	heartbeat.leaving = m->leaving;
	msg.kind_case = HT__PEER_MSG__KIND_HEARTBEAT;
	msg.heartbeat = &heartbeat;
	m->env->send(m->env, p->id, &msg);
}

static void start_round(struct ht_membership *m)
{
	ht_ms lease = ht_membership_lease(m);

	m->sequence++;
	m->rounds[m->sequence % HT_HEARTBEAT_ROUNDS] = (struct ht_heartbeat_round){
		.sequence = m->sequence, .at = m->env->now, .lease = lease};
	m->longest_lease = max_ms(m->longest_lease, lease);
}

/* Sends a heartbeat ahead of schedule, so that new members need not wait for the next round. */
static void send_extra_heartbeat(struct ht_membership *m, struct ht_member *p)
{
	if (p->extra_heartbeats >= HT_EXTRA_HEARTBEAT_BURST &&
	    m->env->now < p->extra_heartbeat_at + HT_EXTRA_HEARTBEAT_SPACING_MS)
		return;
	p->extra_heartbeats++;
	p->extra_heartbeat_at = m->env->now;
	start_round(m);
	send_heartbeat(m, p, config_version(m));
}

static void send_heartbeats(struct ht_membership *m)
{
	uint64_t version = config_version(m);

	start_round(m);
	for (size_t i = 0; i < m->count; i++) {
		struct ht_member *p = &m->members[i];

		if (p->local && !p->self && !p->proven_dead)
			send_heartbeat(m, p, version);
	}
	m->next_heartbeat = m->env->now + ht_membership_interval(m);
}

static void mark_dead(struct ht_membership *m, struct ht_member *p, bool proven)
{
	if (p->state == HT_MEMBER_DEAD && (p->proven_dead || !proven))
		return;
	p->state = HT_MEMBER_DEAD;
	p->proven_dead = proven;
	p->died_at = m->last_change = m->env->now;
	if (p->local)
		m->last_death = m->env->now;
	/* If the proof was wrong, the lease granted earlier must end before a new one is granted.
	 */
	if (proven)
		p->echo_after = m->env->now + m->longest_lease + m->env->params.death_margin;
	m->env->emit(m->env, HT_EV_MEMBER_DEAD, 0, 0, 0, p->id, "name=%s proof=%d", p->info.name,
		     proven);
	ht_membership_view_changed(m);
}

static void mark_heard(struct ht_membership *m, struct ht_member *p)
{
	ht_ms lease = max_ms(p->declared_lease, ht_membership_lease(m));

	p->heard_at = m->env->now;
	p->dead_at = max_ms(p->dead_at, m->env->now + lease + m->env->params.death_margin);
	p->suspect_at = m->env->now + lease * 2 / 3;
	p->heard_directly = true;
	if (p->counted_from > m->env->now + HT_JOIN_GRACE_MS)
		p->counted_from = m->env->now + HT_JOIN_GRACE_MS;
	if (p->state == HT_MEMBER_LIVE || !p->local)
		return;
	if (p->state != HT_MEMBER_SUSPECT) {
		m->last_change = m->env->now;
		m->env->emit(m->env, HT_EV_MEMBER_JOINED, 0, 0, 0, p->id, "name=%s", p->info.name);
		ht_membership_view_changed(m);
	}
	p->state = HT_MEMBER_LIVE;
	p->proven_dead = false;
	m->next_check = 0;
}

void ht_membership_heard(struct ht_membership *m, uint64_t peer)
{
	struct ht_member *p = ht_members_find(m, peer);

	if (p && !p->self && !p->proven_dead)
		mark_heard(m, p);
}

static void process_echo(struct ht_membership *m, struct ht_member *p, const Ht__Heartbeat *msg)
{
	const struct ht_heartbeat_round *round = &m->rounds[msg->echo % HT_HEARTBEAT_ROUNDS];

	if (!p->echoed) {
		p->echoed = true;
		m->next_check = 0;
	}
	end_grant_if_lapsed(m, p);
	if (msg->echo == 0 || round->sequence != msg->echo)
		return;
	if (round->at + round->lease > m->env->now && round->at + round->lease > p->lease_until) {
		p->lease_until = round->at + round->lease;
		m->next_check = min_ms(m->next_check, p->lease_until);
		if (!m->lease_held)
			m->next_check = 0;
	}
}

/* Asks one peer at a time: a list of 2,800 instances takes 212 KB, and each peer sends all of it.
 */
static void request_list_if_missing(struct ht_membership *m, const struct ht_member *p)
{
	if (m->list_revision.number != 0 ||
	    (m->list_asked_at && m->env->now < m->list_asked_at + LIST_REQUEST_SPACING_MS))
		return;
	m->list_asked_at = m->env->now;
	ht_membership_ask_list(m, p->id);
}

void ht_membership_heartbeat(struct ht_membership *m, uint64_t peer, const Ht__Heartbeat *msg)
{
	struct ht_member *p = ht_members_find(m, peer);

	if (!p || p->self || !p->local || p->proven_dead)
		return;
	p->declared_lease = msg->lease_ms;
	m->longest_lease = max_ms(m->longest_lease, msg->lease_ms);
	mark_heard(m, p);
	p->heard_sequence = msg->sequence;
	p->config_version = msg->config_version;
	request_list_if_missing(m, p);
	if (msg->leaving && !p->leaving) {
		p->leaving = true;
		m->last_change = m->env->now;
		m->env->emit(m->env, HT_EV_MEMBER_LEAVING, 0, 0, 0, p->id, "name=%s", p->info.name);
		ht_membership_view_changed(m);
	}
	if (msg->echo_incarnation == m->env->params.incarnation)
		process_echo(m, p, msg);
	if (msg->echo_incarnation != m->env->params.incarnation || p->lease_until == 0 ||
	    p->extra_heartbeats < HT_EXTRA_HEARTBEAT_BURST)
		send_extra_heartbeat(m, p);
}

static void reset_for_incarnation(struct ht_membership *m, struct ht_member *p,
				  uint64_t incarnation)
{
	const struct ht_router_if *router = router_of(m);

	if (p->incarnation) {
		if (p->state != HT_MEMBER_DEAD)
			mark_dead(m, p, true);
		if (router)
			router->peer_down(router->ctx, p->id, HT_PEER_GONE);
		end_grant(m, p);
		if (m->lease_held)
			p->count_dead_until = m->env->now + HT_JOIN_GRACE_MS;
	}
	p->incarnation = incarnation;
	p->proven_dead = false;
	p->leaving = false;
	p->echoed = false;
	p->heard_sequence = 0;
	p->echo_after = 0;
	p->extra_heartbeats = 0;
	p->dead_at = 0;
	p->state = HT_MEMBER_UNKNOWN;
}

void ht_membership_peer_up(struct ht_membership *m, const struct ht_instance_info *info,
			   uint64_t incarnation)
{
	struct ht_member *p = ht_members_add(m, info);

	if (!p || p->self)
		return;
	if (!p->heard_directly && !p->listed)
		ht_member_delay_counting(m, p, HT_JOIN_GRACE_MS);
	if (p->incarnation != incarnation)
		reset_for_incarnation(m, p, incarnation);
	if (info->size > 0)
		p->info.size = info->size;
	p->link_up = true;
	p->down_until = 0;
	p->proven_dead = false;
	if (!p->local)
		p->state = HT_MEMBER_LIVE;
	ht_membership_view_changed(m);
	mark_heard(m, p);
	if (p->local)
		send_extra_heartbeat(m, p);
	if (p->local)
		request_list_if_missing(m, p);
}

void ht_membership_peer_down(struct ht_membership *m, uint64_t peer, uint64_t incarnation,
			     enum ht_peer_down_reason reason)
{
	struct ht_member *p = ht_members_find(m, peer);

	if (!p || p->self || (p->incarnation && incarnation && p->incarnation != incarnation))
		return;
	p->link_up = false;
	if (!p->local)
		p->down_until = m->env->now + HT_REMOTE_RETRY_MS;
	if (reason == HT_PEER_GONE && p->incarnation)
		mark_dead(m, p, true);
}

void ht_membership_leave(struct ht_membership *m)
{
	m->leaving = true;
	ht_membership_view_changed(m);
	send_heartbeats(m);
}

/* After a pause of this process, gives the others one interval to be heard before they expire. */
static void check_pause(struct ht_membership *m)
{
	ht_ms now = m->env->now, interval = ht_membership_interval(m);

	if (now - m->last_tick > interval + PAUSE_MS) {
		m->env->emit(m->env, HT_EV_CLOCK_GAP, 0, 0, 0, 0, "ms=%lld",
			     (long long)(now - m->last_tick));
		for (size_t i = 0; i < m->count; i++)
			if (m->members[i].state != HT_MEMBER_DEAD)
				m->members[i].dead_at =
					max_ms(m->members[i].dead_at, now + interval);
	}
	m->last_tick = now;
}

static void check_member(struct ht_membership *m, struct ht_member *p)
{
	const struct ht_router_if *router = router_of(m);

	end_grant_if_lapsed(m, p);
	if (p->state == HT_MEMBER_LIVE && m->env->now >= p->suspect_at) {
		p->state = HT_MEMBER_SUSPECT;
		m->env->emit(m->env, HT_EV_MEMBER_SUSPECTED, 0, 0, 0, p->id, "name=%s",
			     p->info.name);
	}
	if (p->state == HT_MEMBER_SUSPECT && m->env->now >= p->dead_at) {
		mark_dead(m, p, false);
		if (router)
			router->peer_down(router->ctx, p->id, HT_PEER_SILENT);
	}
	if (p->lease_until)
		m->next_check = min_ms(m->next_check, p->lease_until);
	if (p->state == HT_MEMBER_LIVE)
		m->next_check = min_ms(m->next_check, p->suspect_at);
	if (p->state == HT_MEMBER_SUSPECT)
		m->next_check = min_ms(m->next_check, p->dead_at);
	if (p->proven_dead)
		m->next_check = min_ms(m->next_check, m->env->now + m->env->params.death_margin);
	if (p->counted_from > m->env->now)
		m->next_check = min_ms(m->next_check, p->counted_from);
	else if (p->counted_from) {
		p->counted_from = 0;
		m->epoch++;
	}
	if (p->count_dead_until > m->env->now)
		m->next_check = min_ms(m->next_check, p->count_dead_until);
	else if (p->count_dead_until) {
		p->count_dead_until = 0;
		m->epoch++;
	}
}

/* An instance of another data centre may have restarted without a link to this instance. */
static void check_remote(struct ht_membership *m, struct ht_member *p)
{
	if (!p->proven_dead)
		return;
	if (m->env->now < p->died_at + HT_REMOTE_RETRY_MS) {
		m->next_check = min_ms(m->next_check, p->died_at + HT_REMOTE_RETRY_MS);
		return;
	}
	p->proven_dead = false;
	p->state = HT_MEMBER_UNKNOWN;
	m->view++;
}

static void check_members(struct ht_membership *m)
{
	for (size_t i = 0; i < m->count; i++) {
		struct ht_member *p = &m->members[i];

		if (p->self)
			continue;
		if (p->local)
			check_member(m, p);
		else
			check_remote(m, p);
	}
}

static bool all_members_echoed(const struct ht_membership *m)
{
	for (size_t i = 0; i < m->count; i++) {
		const struct ht_member *p = &m->members[i];

		if (!p->self && !p->proven_dead && ht_member_counted(m, p) && !p->echoed)
			return false;
	}
	return true;
}

/* Allows voting once no vote of an earlier incarnation of this instance can still be in use. */
static void check_voting(struct ht_membership *m)
{
	ht_ms end = m->started + max_ms(m->longest_lease, ht_membership_lease(m)) +
		    m->env->params.death_margin;

	if (!m->voting_suspended)
		return;
	if ((m->list_revision.number != 0 && all_members_echoed(m)) || m->env->now >= end) {
		m->voting_suspended = false;
		ht_membership_view_changed(m);
	}
	m->next_check = min_ms(m->next_check, end);
}

static void check_lease(struct ht_membership *m)
{
	bool held = !m->voting_suspended && ht_membership_lease_valid(m);

	if (held == m->lease_held)
		return;
	m->lease_held = held;
	m->minority_since = held ? HT_NEVER : m->env->now;
	ht_membership_view_changed(m);
	m->epoch++;
	if (!held)
		ht_count(&m->env->counters, HT_C_lease_lapsed, 1);
	m->env->emit(m->env, held ? HT_EV_LEASE_HELD : HT_EV_LEASE_LAPSED, 0, 0, 0, 0, "counted=%u",
		     ht_membership_counted(m));
}

static void tick(void *ctx)
{
	struct ht_membership *m = ctx;

	check_pause(m);
	if (m->env->now >= m->next_heartbeat)
		send_heartbeats(m);
	if (m->env->now >= m->next_check) {
		m->next_check = HT_NEVER;
		check_members(m);
		check_voting(m);
		check_lease(m);
	}
	m->env->wake_at(m->env, min_ms(m->next_heartbeat, m->next_check));
}

struct ht_membership *ht_membership_new(struct ht_env *env)
{
	struct ht_membership *m = calloc(1, sizeof(*m));
	struct ht_member *self;

	if (!m)
		return NULL;
	m->env = env;
	m->dc = ht_hash_str(env->params.self.dc);
	m->started = m->last_tick = m->last_death = m->next_heartbeat = env->now;
	m->minority_since = env->now;
	m->voting_suspended = true;
	m->epoch = 1;
	m->view = 1;
	self = ht_members_add(m, &env->params.self);
	if (!self) {
		free(m);
		return NULL;
	}
	self->state = HT_MEMBER_LIVE;
	self->incarnation = env->params.incarnation;
	m->longest_lease = ht_membership_lease(m);
	ht_membership_fill_iface(m);
	m->tick = (struct ht_tick_if){.ctx = m, .tick = tick};
	ht_registry_add(env->registry, "membership", &m->iface);
	ht_registry_add(env->registry, "membership.tick", &m->tick);
	return m;
}

void ht_membership_free(struct ht_membership *m)
{
	free(m->members);
	free(m->homes);
	free(m);
}
