/* Queries of other services to membership: homes, reachability, votes, relays. */
#include "base/hash.h"
#include "core/members.h"

#include <stdlib.h>

static int compare_homes(const void *a, const void *b)
{
	const struct ht_home_candidate *x = a, *y = b;

	if (x->dc != y->dc)
		return x->dc < y->dc ? -1 : 1;
	return (x->id > y->id) - (x->id < y->id);
}

static void build_candidates(struct ht_membership *m)
{
	struct ht_home_candidate *a = realloc(m->homes, m->count * sizeof(*a));

	if (!a)
		return;
	m->homes = a;
	m->home_count = 0;
	for (size_t i = 0; i < m->count; i++) {
		const struct ht_member *p = &m->members[i];

		if (ht_member_may_be_home(m, p))
			a[m->home_count++] = (struct ht_home_candidate){
				.dc = p->dc,
				.id = p->id,
				.weight = p->info.size > 0 ? p->info.size : 1,
			};
	}
	qsort(a, m->home_count, sizeof(*a), compare_homes);
	m->homes_view = m->view;
}

static size_t first_candidate_of_dc(const struct ht_membership *m, uint64_t dc)
{
	size_t lo = 0, hi = m->home_count;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (m->homes[mid].dc < dc)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static uint64_t home(void *ctx, uint64_t target, const char *dc)
{
	struct ht_membership *m = ctx;
	uint64_t key = ht_hash_str(dc), best = 0;
	double best_score = -1;

	if (m->homes_view != m->view)
		build_candidates(m);
	for (size_t i = first_candidate_of_dc(m, key); i < m->home_count && m->homes[i].dc == key;
	     i++) {
		double score = ht_rendezvous_score(target, m->homes[i].id, m->homes[i].weight);

		if (score > best_score) {
			best_score = score;
			best = m->homes[i].id;
		}
	}
	return best;
}

static uint64_t by_incarnation(void *ctx, uint64_t incarnation)
{
	const struct ht_membership *m = ctx;

	for (size_t i = 0; i < m->count; i++)
		if (m->members[i].incarnation == incarnation &&
		    m->members[i].state != HT_MEMBER_DEAD)
			return m->members[i].id;
	return 0;
}

static bool reachable(void *ctx, uint64_t instance)
{
	const struct ht_membership *m = ctx;
	const struct ht_member *p = ht_members_find(m, instance);

	if (!p || p->proven_dead)
		return false;
	if (p->self)
		return true;
	if (p->local)
		return ht_member_is_live_peer(p);
	return p->link_up || m->env->now >= p->down_until;
}

static void each_peer(void *ctx, const char *dc,
		      void (*visit)(void *vctx, uint64_t instance, bool live), void *vctx)
{
	const struct ht_membership *m = ctx;
	uint64_t key = ht_hash_str(dc);

	for (size_t i = 0; i < m->count; i++)
		if (!m->members[i].self && m->members[i].dc == key)
			visit(vctx, m->members[i].id, reachable(ctx, m->members[i].id));
}

static bool lease_valid(void *ctx)
{
	return ht_membership_lease_valid(ctx);
}

static unsigned int counted(void *ctx)
{
	return ht_membership_counted(ctx);
}

static bool dead(void *ctx, uint64_t instance)
{
	const struct ht_member *p = ht_members_find(ctx, instance);

	return !p || p->state == HT_MEMBER_DEAD;
}

static ht_ms minority_since(void *ctx)
{
	const struct ht_membership *m = ctx;

	return m->minority_since;
}

void ht_membership_fill_iface(struct ht_membership *m)
{
	m->iface = (struct ht_membership_if){
		.ctx = m,
		.home = home,
		.by_incarnation = by_incarnation,
		.reachable = reachable,
		.each_peer = each_peer,
		.lease_valid = lease_valid,
		.counted = counted,
		.dead = dead,
		.minority_since = minority_since,
	};
}

uint64_t ht_membership_view(const struct ht_membership *m)
{
	return m->view;
}

bool ht_membership_voting_suspended(const struct ht_membership *m)
{
	return m->voting_suspended;
}

uint64_t ht_membership_epoch(const struct ht_membership *m)
{
	return m->epoch;
}

uint64_t ht_membership_incarnation(const struct ht_membership *m, uint64_t member, bool *alive)
{
	const struct ht_member *p = ht_members_find(m, member);

	*alive = p && p->state != HT_MEMBER_DEAD;
	return p ? p->incarnation : 0;
}

ht_ms ht_membership_last_death(const struct ht_membership *m)
{
	return m->last_death;
}

ht_ms ht_membership_last_change(const struct ht_membership *m)
{
	return m->last_change;
}

bool ht_membership_is_leaving(const struct ht_membership *m, uint64_t member)
{
	const struct ht_member *p = ht_members_find(m, member);

	return p && p->leaving;
}

ht_ms ht_membership_died_at(const struct ht_membership *m, uint64_t member)
{
	const struct ht_member *p = ht_members_find(m, member);

	return p ? p->died_at : HT_NEVER;
}

const struct ht_instance_info *ht_membership_info(const struct ht_membership *m, uint64_t id)
{
	const struct ht_member *p = ht_members_find(m, id);

	return p ? &p->info : NULL;
}

void ht_membership_each(const struct ht_membership *m,
			void (*visit)(void *vctx, const struct ht_instance_info *info, bool live),
			void *vctx)
{
	for (size_t i = 0; i < m->count; i++) {
		const struct ht_member *p = &m->members[i];

		if (!p->self)
			visit(vctx, &p->info, p->state == HT_MEMBER_LIVE);
	}
}

int ht_membership_relay_rank(const struct ht_membership *m)
{
	uint64_t key = ht_hash_str("relay");
	double own = ht_rendezvous_score(key, m->env->self, 1);
	int ahead = 0;

	if (m->leaving || m->voting_suspended)
		return -1;
	for (size_t i = 0; i < m->count; i++) {
		const struct ht_member *p = &m->members[i];

		if (ht_member_is_live_peer(p) && !p->leaving)
			ahead += ht_rendezvous_score(key, p->id, 1) > own;
	}
	return ahead < HT_RELAYS ? ahead : -1;
}

struct ht_revision ht_membership_list_revision(const struct ht_membership *m)
{
	return m->list_revision;
}

bool ht_membership_has_successor(const struct ht_membership *m)
{
	for (size_t i = 0; i < m->count; i++)
		if (ht_member_is_live_peer(&m->members[i]) && !m->members[i].leaving)
			return true;
	return false;
}

uint64_t ht_membership_random_peer(struct ht_membership *m)
{
	uint64_t seen = 0, chosen = 0;

	for (size_t i = 0; i < m->count; i++)
		if (ht_member_is_live_peer(&m->members[i]) && m->env->random(m->env) % ++seen == 0)
			chosen = m->members[i].id;
	return chosen;
}

void ht_membership_note_version(struct ht_membership *m, uint64_t peer, uint64_t version)
{
	struct ht_member *p = ht_members_find(m, peer);

	if (p && version > p->config_version)
		p->config_version = version;
}

uint64_t ht_membership_config_peer(const struct ht_membership *m, uint64_t version,
				   unsigned int attempt)
{
	uint64_t salt = ht_hash_pair(m->env->self, attempt), chosen = 0, highest = 0;

	for (size_t i = 0; i < m->count; i++) {
		const struct ht_member *p = &m->members[i];
		uint64_t rank = ht_hash_pair(p->id, salt);

		if (!ht_member_is_live_peer(p) || p->config_version < version)
			continue;
		if (!chosen || rank > highest) {
			chosen = p->id;
			highest = rank;
		}
	}
	return chosen;
}

void ht_membership_versions(const struct ht_membership *m,
			    void (*visit)(void *vctx, const char *name, uint64_t version),
			    void *vctx)
{
	for (size_t i = 0; i < m->count; i++)
		if (ht_member_is_live_peer(&m->members[i]))
			visit(vctx, m->members[i].info.name, m->members[i].config_version);
}
