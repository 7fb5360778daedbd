#include "core/members.h"

#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

/* Index of the first member with an id not less than @id. */
static size_t lower_bound(const struct ht_membership *m, uint64_t id)
{
	size_t lo = 0, hi = m->count;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (m->members[mid].id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct ht_member *ht_members_find(const struct ht_membership *m, uint64_t id)
{
	size_t at = lower_bound(m, id);

	return at < m->count && m->members[at].id == id ? &m->members[at] : NULL;
}

static bool grow_if_full(struct ht_membership *m)
{
	size_t capacity = m->capacity ? m->capacity * 2 : 16;
	struct ht_member *a;

	if (m->count < m->capacity)
		return true;
	a = realloc(m->members, capacity * sizeof(*a));
	if (!a)
		return false;
	m->members = a;
	m->capacity = capacity;
	return true;
}

struct ht_member *ht_members_add(struct ht_membership *m, const struct ht_instance_info *info)
{
	uint64_t id = ht_instance_id(info->name);
	size_t at = lower_bound(m, id);
	struct ht_member *p;

	if (at < m->count && m->members[at].id == id)
		return &m->members[at];
	if (!grow_if_full(m))
		return NULL;
	p = m->members + at;
	memmove(p + 1, p, (m->count - at) * sizeof(*p));
	m->count++;
	*p = (struct ht_member){
		.id = id,
		.dc = ht_hash_str(info->dc),
		.info = *info,
		.self = id == m->env->self,
		.generation = 1,
		.died_at = HT_NEVER,
	};
	p->local = p->dc == m->dc;
	return p;
}

void ht_members_erase(struct ht_membership *m, struct ht_member *p)
{
	size_t at = (size_t)(p - m->members);

	memmove(p, p + 1, (m->count - at - 1) * sizeof(*p));
	m->count--;
}

bool ht_member_counted(const struct ht_membership *m, const struct ht_member *p)
{
	ht_ms lease = m->longest_lease + m->env->params.death_margin;

	if (!p->local || p->leaving || !(p->listed || p->heard_directly || p->self) ||
	    (p->self && m->leaving) || m->env->now < p->counted_from)
		return false;
	/* Grants that a dead member gave to others may remain in use for one lease. */
	return !(p->proven_dead && m->env->now >= p->died_at + lease);
}

void ht_member_delay_counting(const struct ht_membership *m, struct ht_member *p, ht_ms grace)
{
	if (m->lease_held && !p->self)
		p->counted_from = m->env->now + grace;
}

bool ht_member_is_live_peer(const struct ht_member *p)
{
	return p->local && !p->self &&
	       (p->state == HT_MEMBER_LIVE || p->state == HT_MEMBER_SUSPECT);
}

bool ht_member_may_be_home(const struct ht_membership *m, const struct ht_member *p)
{
	if (p->self)
		return !m->leaving;
	if (p->leaving || p->info.leaving)
		return false;
	if (p->local)
		return ht_member_is_live_peer(p);
	return !p->proven_dead && (p->listed || p->link_up);
}

unsigned int ht_membership_counted(const struct ht_membership *m)
{
	unsigned int n = 0;

	for (size_t i = 0; i < m->count; i++)
		n += ht_member_counted(m, &m->members[i]);
	return n;
}

ht_ms ht_membership_interval(const struct ht_membership *m)
{
	const struct ht_core_params *params = &m->env->params;
	ht_ms scaled = params->heartbeat_per_peer * ht_membership_counted(m);

	return scaled > params->heartbeat_min ? scaled : params->heartbeat_min;
}

ht_ms ht_membership_lease(const struct ht_membership *m)
{
	ht_ms lease = 3 * ht_membership_interval(m);

	return lease > m->env->params.lease_min ? lease : m->env->params.lease_min;
}

void ht_membership_view_changed(struct ht_membership *m)
{
	m->view++;
	m->next_check = 0;
}

static bool grants_lease(const struct ht_membership *m, const struct ht_member *p)
{
	return p->self ? !m->leaving : m->env->now < p->lease_until;
}

static bool counts_as_dead(const struct ht_membership *m, const struct ht_member *p)
{
	return p->proven_dead || m->env->now < p->count_dead_until;
}

/*
 * True for a majority of the counted members, or for all of them that are not proven dead: then no
 * other instance is left that could have a majority.
 */
static bool is_quorum(const struct ht_membership *m, unsigned int all, unsigned int alive)
{
	unsigned int counted = 0, dead = 0;

	for (size_t i = 0; i < m->count; i++) {
		if (!ht_member_counted(m, &m->members[i]))
			continue;
		counted++;
		dead += counts_as_dead(m, &m->members[i]);
	}
	if (counted == 0)
		return true;
	return 2 * all > counted || (alive > 0 && alive == counted - dead);
}

bool ht_membership_lease_valid(const struct ht_membership *m)
{
	unsigned int all = 0, alive = 0;

	for (size_t i = 0; i < m->count; i++) {
		const struct ht_member *p = &m->members[i];

		if (!ht_member_counted(m, p) || !grants_lease(m, p))
			continue;
		all++;
		alive += !counts_as_dead(m, p);
	}
	return is_quorum(m, all, alive);
}

bool ht_membership_majority(const struct ht_membership *m, const struct ht_vote *votes,
			    size_t count, bool self)
{
	unsigned int all = self && !m->leaving, alive = all;

	for (size_t i = 0; i < count; i++) {
		const struct ht_member *p = ht_members_find(m, votes[i].member);

		if (!p || !votes[i].granted || p->generation != votes[i].generation ||
		    !ht_member_counted(m, p) || !grants_lease(m, p))
			continue;
		all++;
		alive += !counts_as_dead(m, p);
	}
	/* Without its own vote, an instance needs at least one grant for the target. */
	return (self || all > 0) && is_quorum(m, all, alive);
}

uint32_t ht_membership_generation(const struct ht_membership *m, uint64_t member)
{
	const struct ht_member *p = ht_members_find(m, member);

	return p && !p->self && grants_lease(m, p) ? p->generation : 0;
}

uint64_t ht_membership_min_epoch(const struct ht_membership *m, uint64_t member)
{
	const struct ht_member *p = ht_members_find(m, member);

	return p ? p->min_epoch : UINT64_MAX;
}
