#include "core/members.h"

#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

/* Distance between two requests for the whole list, while none is known. */
#define LIST_ASK_MS 1000

/* A gap between two ticks longer than a heartbeat interval plus this is a pause of the process. */
#define GAP_MS 500

static const struct ht_router_if *router_of(const struct ht_membership *m)
{
	return ht_registry_find(m->env->registry, "router");
}

/* Ends the grant of @p: votes and claims from before no longer count. */
static void lapse(struct ht_membership *m, struct ht_member *p)
{
	p->lease_until = 0;
	p->generation++;
	p->min_epoch = ++m->epoch;
	m->next_check = 0;
}

static void lapse_if_due(struct ht_membership *m, struct ht_member *p)
{
	if (p->lease_until != 0 && m->env->now >= p->lease_until)
		lapse(m, p);
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

static void send_beat(struct ht_membership *m, struct ht_member *p, uint64_t version)
{
	const struct ht_sent_round *round = &m->sent[m->sequence % HT_SENT_ROUNDS];
	Ht__Heartbeat beat = HT__HEARTBEAT__INIT;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;

	beat.sequence = m->sequence;
	beat.lease_ms = (uint32_t)round->lease;
	if (p->incarnation && m->env->now >= p->echo_after) {
		beat.echo = p->heard_sequence;
		beat.echo_incarnation = p->incarnation;
	}
	beat.config_version = version;
	beat.leaving = m->leaving;
	msg.kind_case = HT__PEER_MSG__KIND_HEARTBEAT;
	msg.heartbeat = &beat;
	m->env->send(m->env, p->id, &msg);
}

static void start_round(struct ht_membership *m)
{
	ht_ms lease = ht_membership_lease(m);

	m->sequence++;
	m->sent[m->sequence % HT_SENT_ROUNDS] =
		(struct ht_sent_round){.sequence = m->sequence, .at = m->env->now, .lease = lease};
	m->longest_lease = max_ms(m->longest_lease, lease);
}

/* Heartbeat out of turn, so that a new pair of members need not wait for an interval. */
static void prompt(struct ht_membership *m, struct ht_member *p)
{
	if (p->prompts >= HT_FREE_PROMPTS && m->env->now < p->prompted_at + HT_PROMPT_MS)
		return;
	p->prompts++;
	p->prompted_at = m->env->now;
	start_round(m);
	send_beat(m, p, config_version(m));
}

static void beat_all(struct ht_membership *m)
{
	uint64_t version = config_version(m);

	start_round(m);
	for (size_t i = 0; i < m->count; i++) {
		struct ht_member *p = &m->members[i];

		if (p->local && !p->self && !p->proven)
			send_beat(m, p, version);
	}
	m->next_beat = m->env->now + ht_membership_interval(m);
}

static void die(struct ht_membership *m, struct ht_member *p, bool proven)
{
	if (p->state == HT_MEMBER_DEAD && (p->proven || !proven))
		return;
	p->state = HT_MEMBER_DEAD;
	p->proven = proven;
	p->died_at = m->last_shift = m->env->now;
	if (p->local)
		m->last_death = m->env->now;
	/* If the proof was wrong, the lease from here must lapse before it is granted again. */
	if (proven)
		p->echo_after = m->env->now + m->longest_lease + m->env->params.death_margin;
	m->env->emit(m->env, HT_EV_MEMBER_DEAD, 0, 0, 0, p->id, "name=%s proof=%d", p->info.name,
		     proven);
	ht_membership_touch(m);
}

static void hear(struct ht_membership *m, struct ht_member *p)
{
	ht_ms lease = max_ms(p->declared_lease, ht_membership_lease(m));

	p->heard_at = m->env->now;
	p->dead_at = max_ms(p->dead_at, m->env->now + lease + m->env->params.death_margin);
	p->suspect_at = m->env->now + lease * 2 / 3;
	p->presumed = true;
	if (p->counted_from > m->env->now + HT_JOIN_GRACE_MS)
		p->counted_from = m->env->now + HT_JOIN_GRACE_MS;
	if (p->state == HT_MEMBER_LIVE || !p->local)
		return;
	if (p->state != HT_MEMBER_SUSPECT) {
		m->last_shift = m->env->now;
		m->env->emit(m->env, HT_EV_MEMBER_JOINED, 0, 0, 0, p->id, "name=%s", p->info.name);
		ht_membership_touch(m);
	}
	p->state = HT_MEMBER_LIVE;
	p->proven = false;
	m->next_check = 0;
}

void ht_membership_heard(struct ht_membership *m, uint64_t peer)
{
	struct ht_member *p = ht_members_find(m, peer);

	if (p && !p->self && !p->proven)
		hear(m, p);
}

static void take_echo(struct ht_membership *m, struct ht_member *p, const Ht__Heartbeat *msg)
{
	const struct ht_sent_round *round = &m->sent[msg->echo % HT_SENT_ROUNDS];

	if (!p->echoed) {
		p->echoed = true;
		m->next_check = 0;
	}
	lapse_if_due(m, p);
	if (msg->echo == 0 || round->sequence != msg->echo)
		return;
	if (round->at + round->lease > m->env->now && round->at + round->lease > p->lease_until) {
		p->lease_until = round->at + round->lease;
		m->next_check = min_ms(m->next_check, p->lease_until);
		if (!m->lease_held)
			m->next_check = 0;
	}
}

/* One peer at a time: the list of 2,800 instances has 212 KB, and each peer would send all of it.
 */
static void ask_for_list(struct ht_membership *m, const struct ht_member *p)
{
	if (m->list_revision.number != 0 ||
	    (m->list_asked_at && m->env->now < m->list_asked_at + LIST_ASK_MS))
		return;
	m->list_asked_at = m->env->now;
	ht_membership_ask_list(m, p->id);
}

void ht_membership_heartbeat(struct ht_membership *m, uint64_t peer, const Ht__Heartbeat *msg)
{
	struct ht_member *p = ht_members_find(m, peer);

	if (!p || p->self || !p->local || p->proven)
		return;
	p->declared_lease = msg->lease_ms;
	m->longest_lease = max_ms(m->longest_lease, msg->lease_ms);
	hear(m, p);
	p->heard_sequence = msg->sequence;
	p->config_version = msg->config_version;
	ask_for_list(m, p);
	if (msg->leaving && !p->leaving) {
		p->leaving = true;
		m->last_shift = m->env->now;
		m->env->emit(m->env, HT_EV_MEMBER_LEAVING, 0, 0, 0, p->id, "name=%s", p->info.name);
		ht_membership_touch(m);
	}
	if (msg->echo_incarnation == m->env->params.incarnation)
		take_echo(m, p, msg);
	if (msg->echo_incarnation != m->env->params.incarnation || p->lease_until == 0 ||
	    p->prompts < HT_FREE_PROMPTS)
		prompt(m, p);
}

static void restart(struct ht_membership *m, struct ht_member *p, uint64_t incarnation)
{
	const struct ht_router_if *router = router_of(m);

	if (p->incarnation) {
		if (p->state != HT_MEMBER_DEAD)
			die(m, p, true);
		if (router)
			router->peer_down(router->ctx, p->id, HT_PEER_GONE);
		lapse(m, p);
		if (m->lease_held)
			p->ghost_until = m->env->now + HT_JOIN_GRACE_MS;
	}
	p->incarnation = incarnation;
	p->proven = false;
	p->leaving = false;
	p->echoed = false;
	p->heard_sequence = 0;
	p->echo_after = 0;
	p->prompts = 0;
	p->dead_at = 0;
	p->state = HT_MEMBER_UNKNOWN;
}

void ht_membership_peer_up(struct ht_membership *m, const struct ht_instance_info *info,
			   uint64_t incarnation)
{
	struct ht_member *p = ht_members_add(m, info);

	if (!p || p->self)
		return;
	if (!p->presumed && !p->listed)
		ht_member_welcome(m, p, HT_JOIN_GRACE_MS);
	if (p->incarnation != incarnation)
		restart(m, p, incarnation);
	if (info->size > 0)
		p->info.size = info->size;
	p->linked = true;
	p->down_until = 0;
	p->proven = false;
	if (!p->local)
		p->state = HT_MEMBER_LIVE;
	ht_membership_touch(m);
	hear(m, p);
	if (p->local)
		prompt(m, p);
	if (p->local)
		ask_for_list(m, p);
}

void ht_membership_peer_down(struct ht_membership *m, uint64_t peer, uint64_t incarnation,
			     enum ht_peer_down_reason reason)
{
	struct ht_member *p = ht_members_find(m, peer);

	if (!p || p->self || (p->incarnation && incarnation && p->incarnation != incarnation))
		return;
	p->linked = false;
	if (!p->local)
		p->down_until = m->env->now + HT_REMOTE_RETRY_MS;
	if (reason == HT_PEER_GONE && p->incarnation)
		die(m, p, true);
}

void ht_membership_leave(struct ht_membership *m)
{
	m->leaving = true;
	ht_membership_touch(m);
	beat_all(m);
}

/* After a pause of this process, silence of the others says nothing: hear them first. */
static void check_gap(struct ht_membership *m)
{
	ht_ms now = m->env->now, interval = ht_membership_interval(m);

	if (now - m->last_tick > interval + GAP_MS) {
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

	lapse_if_due(m, p);
	if (p->state == HT_MEMBER_LIVE && m->env->now >= p->suspect_at) {
		p->state = HT_MEMBER_SUSPECT;
		m->env->emit(m->env, HT_EV_MEMBER_SUSPECTED, 0, 0, 0, p->id, "name=%s",
			     p->info.name);
	}
	if (p->state == HT_MEMBER_SUSPECT && m->env->now >= p->dead_at) {
		die(m, p, false);
		if (router)
			router->peer_down(router->ctx, p->id, HT_PEER_SILENT);
	}
	if (p->lease_until)
		m->next_check = min_ms(m->next_check, p->lease_until);
	if (p->state == HT_MEMBER_LIVE)
		m->next_check = min_ms(m->next_check, p->suspect_at);
	if (p->state == HT_MEMBER_SUSPECT)
		m->next_check = min_ms(m->next_check, p->dead_at);
	if (p->proven)
		m->next_check = min_ms(m->next_check, m->env->now + m->env->params.death_margin);
	if (p->counted_from > m->env->now)
		m->next_check = min_ms(m->next_check, p->counted_from);
	else if (p->counted_from) {
		p->counted_from = 0;
		m->epoch++;
	}
	if (p->ghost_until > m->env->now)
		m->next_check = min_ms(m->next_check, p->ghost_until);
	else if (p->ghost_until) {
		p->ghost_until = 0;
		m->epoch++;
	}
}

/* A remote instance that was gone may have come back without a link to here. */
static void check_remote(struct ht_membership *m, struct ht_member *p)
{
	if (!p->proven)
		return;
	if (m->env->now < p->died_at + HT_REMOTE_RETRY_MS) {
		m->next_check = min_ms(m->next_check, p->died_at + HT_REMOTE_RETRY_MS);
		return;
	}
	p->proven = false;
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

static bool all_echoed(const struct ht_membership *m)
{
	for (size_t i = 0; i < m->count; i++) {
		const struct ht_member *p = &m->members[i];

		if (!p->self && !p->proven && ht_member_counted(m, p) && !p->echoed)
			return false;
	}
	return true;
}

/* Ends the time in which an earlier incarnation of this instance may still have grants out. */
static void check_voteless(struct ht_membership *m)
{
	ht_ms end = m->started + max_ms(m->longest_lease, ht_membership_lease(m)) +
		    m->env->params.death_margin;

	if (!m->voteless)
		return;
	if ((m->list_revision.number != 0 && all_echoed(m)) || m->env->now >= end) {
		m->voteless = false;
		ht_membership_touch(m);
	}
	m->next_check = min_ms(m->next_check, end);
}

static void check_lease(struct ht_membership *m)
{
	bool held = !m->voteless && ht_membership_lease_valid(m);

	if (held == m->lease_held)
		return;
	m->lease_held = held;
	m->minority_since = held ? HT_NEVER : m->env->now;
	ht_membership_touch(m);
	m->epoch++;
	if (!held)
		ht_count(&m->env->counters, HT_C_lease_lapsed, 1);
	m->env->emit(m->env, held ? HT_EV_LEASE_HELD : HT_EV_LEASE_LAPSED, 0, 0, 0, 0, "counted=%u",
		     ht_membership_counted(m));
}

static void tick(void *ctx)
{
	struct ht_membership *m = ctx;

	check_gap(m);
	if (m->env->now >= m->next_beat)
		beat_all(m);
	if (m->env->now >= m->next_check) {
		m->next_check = HT_NEVER;
		check_members(m);
		check_voteless(m);
		check_lease(m);
	}
	m->env->wake_at(m->env, min_ms(m->next_beat, m->next_check));
}

struct ht_membership *ht_membership_new(struct ht_env *env)
{
	struct ht_membership *m = calloc(1, sizeof(*m));
	struct ht_member *self;

	if (!m)
		return NULL;
	m->env = env;
	m->dc = ht_hash_str(env->params.self.dc);
	m->started = m->last_tick = m->last_death = m->next_beat = env->now;
	m->minority_since = env->now;
	m->voteless = true;
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
