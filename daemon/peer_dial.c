#include "daemon/peers_internal.h"

#include <sodium.h>
#include <stdlib.h>

#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 5000

bool ht_peer_wants_link(const struct ht_peer *p)
{
	return p->demanded || (ht_peer_same_dc(p) && (p->listed || p->current));
}

void ht_peer_schedule(struct ht_peer *p, ht_ms delay)
{
	if (p->session || p->dialing || ev_is_active(&p->retry))
		return;
	ev_timer_set(&p->retry, (double)delay / 1000.0, 0);
	ev_timer_start(p->peers->p.loop, &p->retry);
}

/* Half of the interval is random, so that a restarted instance is not dialed by all at once. */
ht_ms ht_peer_backoff(const struct ht_peer *p)
{
	unsigned int shift = p->failures < 7 ? p->failures : 7;
	ht_ms max = (ht_ms)RETRY_MIN_MS << shift;

	if (max > RETRY_MAX_MS)
		max = RETRY_MAX_MS;
	return max / 2 + randombytes_uniform((uint32_t)(max / 2) + 1);
}

void ht_peer_report_gone(struct ht_peer *p)
{
	uint64_t incarnation = p->current;

	if (!incarnation)
		return;
	memmove(p->gone + 1, p->gone, sizeof(p->gone) - sizeof(p->gone[0]));
	p->gone[0] = incarnation;
	p->current = 0;
	ht_log_event(p->peers->p.log, HT_EV_PEER_GONE, 0, p->id, "incarnation=%016llx",
		     (unsigned long long)incarnation);
	p->peers->p.ops->down(p->peers->p.ctx, p->id, incarnation, HT_PEER_GONE);
}

bool ht_peer_is_gone(const struct ht_peer *p, uint64_t incarnation)
{
	for (int i = 0; i < HT_GONE_KEPT; i++)
		if (p->gone[i] == incarnation)
			return true;
	return false;
}

void ht_peer_dial_failed(struct ht_peer *p, bool refused)
{
	bool lost = ht_buffer_len(&p->queue) > 0;

	ht_buffer_clear(&p->queue);
	p->failures++;
	if (refused && strcmp(p->info.peer_address, p->current_address) == 0)
		ht_peer_report_gone(p);
	else if (lost)
		p->peers->p.ops->down(p->peers->p.ctx, p->id, p->current, HT_PEER_SILENT);
	if (refused && !ht_peer_same_dc(p))
		p->demanded = p->listed;
	if (ht_peer_wants_link(p))
		ht_peer_schedule(p, ht_peer_backoff(p));
}

struct ht_peer_session_params ht_peers_session_params(struct ht_peers *peers)
{
	return (struct ht_peer_session_params){
		.loop = peers->p.loop,
		.ops = peers->session_ops,
		.ctx = peers,
		.self = &peers->p.self,
		.incarnation = peers->p.incarnation,
		.key = peers->p.key,
	};
}

static void on_retry(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_peer *p = w->data;
	struct ht_peer_session_params params = ht_peers_session_params(p->peers);
	struct ht_addr addr;
	struct ht_err err = {0};

	(void)loop;
	(void)revents;
	if (p->session || p->dialing || !ht_peer_wants_link(p))
		return;
	if (ht_addr_parse(&addr, p->info.peer_address, &err))
		p->dialing = ht_peer_session_dial(&params, &addr, p->id, &err);
	if (p->dialing)
		p->dialing->owner = p;
	else
		ht_peer_dial_failed(p, err.code == HT_ENOTFOUND);
}

struct ht_peer *ht_peer_add(struct ht_peers *peers, const struct ht_instance_info *info)
{
	struct ht_peer *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->peers = peers;
	p->id = ht_instance_id(info->name);
	p->info = *info;
	p->seen_at = ht_clock_now(&ht_clock_monotonic);
	ev_timer_init(&p->retry, on_retry, 0, 0);
	p->retry.data = p;
	ht_list_add_tail(&peers->all, &p->node);
	g_hash_table_insert(peers->by_id, &p->id, p);
	return p;
}
