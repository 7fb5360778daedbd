#include "core/core.h"

#include "base/hash.h"
#include "base/hlc.h"
#include "core/control.h"
#include "core/wakeups.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of the length field in front of each frame. */
#define FRAME_HEADER 4

/*
 * Clock values reserved below that of each message, for the events that report it. These events are
 * emitted after the send has succeeded, but have to sort before the events that the message causes
 * at the receiver. At most two events report one message (REQUEST_FORWARDED and its reason).
 */
#define RESERVED_EVENT_CLOCKS 4

struct ht_core {
	struct ht_env env;
	struct ht_hlc hlc;
	uint64_t reserved_next, reserved_end; /* reserved clock values, until finish_entry() */
	ht_ms wall_offset;
	uint64_t random_state;
	struct ht_wakeups wakeups;
	ht_ms armed;
	struct ht_membership *membership;
	struct ht_config_service *config;
	struct ht_ownership *ownership;
	struct ht_request_path *path;
	struct ht_relay *relay;
	struct ht_stop *stop;
	const struct ht_router_if *router;
	const struct ht_ledger_if *ledger;
	const struct ht_tick_if *ticks[16];
	size_t tick_count;
};

/* In the order in which the services were constructed. */
static const char *const tick_names[] = {
	"membership.tick", "config.tick",	"ownership.tick", "router.tick", "targets.tick",
	"ledger.tick",	   "request_path.tick", "relay.tick",	  "stop.tick",
};

void ht_core_params_default(struct ht_core_params *p)
{
	*p = (struct ht_core_params){
		.heartbeat_min = 500,
		.heartbeat_per_peer = 60,
		.lease_min = 2000,
		.death_margin = 500,
		.takeover_hold = 2000,
		.isolation = 10000,
		.claim_wait = 200,
		.linger = 3000,
		.flow_idle = 600000,
		.target_deadline = 2000,
		.flow_table_max = 262144,
		.answer_cache_bytes = 16 << 20,
		.queue_max = 64,
		.retry_ratio = 0.1,
		.retry_burst = 10,
		.self = {.size = 1},
	};
}

uint64_t ht_instance_id(const char *name)
{
	return ht_hash_str(name);
}

uint64_t ht_flow_id(const struct ht_addr *caller, uint64_t service)
{
	char text[HT_ADDR_TEXT];

	return ht_hash_pair(ht_hash_str(ht_addr_format(caller, text)), service);
}

static struct ht_core *core_of(struct ht_env *env)
{
	return env->core;
}

static bool is_data(const Ht__PeerMsg *msg)
{
	return msg->kind_case == HT__PEER_MSG__KIND_FORWARD ||
	       msg->kind_case == HT__PEER_MSG__KIND_ANSWER ||
	       msg->kind_case == HT__PEER_MSG__KIND_RETURNED;
}

static uint64_t frame_bytes(const Ht__PeerMsg *msg)
{
	return ht__peer_msg__get_packed_size(msg) + FRAME_HEADER;
}

static ht_ms wall(const struct ht_core *core)
{
	return core->env.now + core->wall_offset;
}

static uint64_t message_clock(struct ht_core *core)
{
	if (core->reserved_end - core->reserved_next < RESERVED_EVENT_CLOCKS) {
		core->reserved_next = ht_hlc_tick(&core->hlc, wall(core));
		core->reserved_end = core->reserved_next + RESERVED_EVENT_CLOCKS;
		core->hlc.last = core->reserved_end - 1;
	}
	return ht_hlc_tick(&core->hlc, wall(core));
}

static uint64_t event_clock(struct ht_core *core)
{
	if (core->reserved_next < core->reserved_end)
		return core->reserved_next++;
	return ht_hlc_tick(&core->hlc, wall(core));
}

static bool env_send(struct ht_env *env, uint64_t peer, Ht__PeerMsg *msg)
{
	struct ht_core *core = core_of(env);
	struct ht_counters *c = &env->counters;

	if (peer == 0 || peer == env->self)
		return false;
	msg->clock = message_clock(core);
	if (!env->params.ops->send_peer(env->params.ctx, peer, msg))
		return false;
	if (is_data(msg)) {
		ht_count(c, HT_C_data_bytes_sent, frame_bytes(msg));
	} else {
		ht_count(c, HT_C_control_bytes_sent, frame_bytes(msg));
		ht_count(c, HT_C_control_messages_sent, 1);
	}
	return true;
}

static void env_wake_at(struct ht_env *env, ht_ms due)
{
	ht_wakeups_add(&core_of(env)->wakeups, due > env->now ? due : env->now + 1);
}

static void env_emit(struct ht_env *env, enum ht_event_number number, uint64_t flow,
		     uint64_t request, uint64_t target, uint64_t instance, const char *fmt, ...)
{
	struct ht_core *core = core_of(env);
	struct ht_event ev = {
		.number = number,
		.clock = event_clock(core),
		.flow = flow,
		.request = request,
		.target = target,
		.instance = instance,
	};
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(ev.detail, sizeof(ev.detail), fmt, ap);
	va_end(ap);
	env->params.ops->log_event(env->params.ctx, &ev);
}

/* A counter hashed with the seed: reproducible, and uniform enough for jitter and selection. */
static uint64_t env_random(struct ht_env *env)
{
	struct ht_core *core = core_of(env);

	return ht_hash_pair(core->random_state++, env->params.seed);
}

static void init_env(struct ht_core *core, const struct ht_core_params *params)
{
	core->env = (struct ht_env){
		.params = *params,
		.now = params->now,
		.self = ht_instance_id(params->self.name),
		.core = core,
		.send = env_send,
		.wake_at = env_wake_at,
		.emit = env_emit,
		.random = env_random,
	};
	core->wall_offset = params->wall ? params->wall - params->now : 0;
	core->armed = HT_NEVER;
}

static bool start_services(struct ht_core *core)
{
	struct ht_env *env = &core->env;

	core->membership = ht_membership_new(env);
	core->config = core->membership ? ht_config_service_new(env) : NULL;
	core->ownership = core->config ? ht_ownership_new(env) : NULL;
	core->path = core->ownership ? ht_request_path_new(env) : NULL;
	core->relay = core->path ? ht_relay_new(env) : NULL;
	core->stop = core->relay ? ht_stop_new(env) : NULL;
	if (!core->stop)
		return false;
	core->router = ht_registry_find(env->registry, "router");
	core->ledger = ht_registry_find(env->registry, "ledger");
	for (size_t i = 0; i < sizeof(tick_names) / sizeof(tick_names[0]); i++) {
		core->ticks[core->tick_count] = ht_registry_find(env->registry, tick_names[i]);
		if (core->ticks[core->tick_count])
			core->tick_count++;
	}
	return core->router && core->ledger;
}

/* Called at the end of each public function: applies view changes and arms the timer. */
static void finish_entry(struct ht_core *core)
{
	ht_ms first;

	ht_ownership_review(core->ownership);
	core->reserved_next = core->reserved_end = 0;
	first = ht_wakeups_first(&core->wakeups);
	if (first == core->armed || first == HT_NEVER)
		return;
	core->armed = first;
	core->env.params.ops->arm_timer(core->env.params.ctx, first);
}

static void run_ticks(struct ht_core *core)
{
	for (size_t i = 0; i < core->tick_count; i++)
		core->ticks[i]->tick(core->ticks[i]->ctx);
}

struct ht_core *ht_core_new(const struct ht_core_params *params)
{
	struct ht_core *core = calloc(1, sizeof(*core));

	if (!core)
		return NULL;
	init_env(core, params);
	core->env.registry = ht_registry_new();
	if (!core->env.registry || !ht_registry_add(core->env.registry, "env", &core->env) ||
	    !start_services(core)) {
		ht_core_free(core);
		return NULL;
	}
	run_ticks(core);
	finish_entry(core);
	return core;
}

void ht_core_free(struct ht_core *core)
{
	if (!core)
		return;
	if (core->stop)
		ht_stop_free(core->stop);
	if (core->relay)
		ht_relay_free(core->relay);
	if (core->path)
		ht_request_path_free(core->path);
	if (core->ownership)
		ht_ownership_free(core->ownership);
	if (core->config)
		ht_config_service_free(core->config);
	if (core->membership)
		ht_membership_free(core->membership);
	ht_registry_free(core->env.registry);
	ht_wakeups_clear(&core->wakeups);
	free(core);
}

void ht_core_request(struct ht_core *core, uint64_t handle, const struct ht_request *req)
{
	core->router->request(core->router->ctx, handle, req);
	finish_entry(core);
}

static void dispatch_control(struct ht_core *core, uint64_t peer, const Ht__PeerMsg *msg)
{
	switch (msg->kind_case) {
	case HT__PEER_MSG__KIND_HEARTBEAT:
		ht_membership_heartbeat(core->membership, peer, msg->heartbeat);
		ht_config_service_announce(core->config, peer, msg->heartbeat->config_version);
		break;
	case HT__PEER_MSG__KIND_CLAIM:
		ht_ownership_claim(core->ownership, peer, msg->claim);
		break;
	case HT__PEER_MSG__KIND_CLAIM_REPLY:
		ht_ownership_claim_reply(core->ownership, peer, msg->claim_reply);
		break;
	case HT__PEER_MSG__KIND_SLOT_RELEASE:
		ht_ownership_slot_release(core->ownership, peer, msg->slot_release);
		break;
	case HT__PEER_MSG__KIND_LEDGER_ENTRIES:
		core->ledger->entries(core->ledger->ctx, peer, msg->ledger_entries);
		break;
	case HT__PEER_MSG__KIND_LEDGER_ACK:
		core->ledger->ack(core->ledger->ctx, peer, msg->ledger_ack);
		break;
	case HT__PEER_MSG__KIND_CONFIG_ANNOUNCE:
		ht_config_service_announce(core->config, peer, msg->config_announce->version);
		break;
	case HT__PEER_MSG__KIND_CONFIG_PULL:
		ht_config_service_pull(core->config, peer, msg->config_pull);
		break;
	case HT__PEER_MSG__KIND_CONFIG_DATA:
		ht_config_service_data(core->config, peer, msg->config_data);
		break;
	case HT__PEER_MSG__KIND_LIVE_LIST:
		ht_membership_peer_list(core->membership, peer, msg->live_list);
		break;
	default: /* The link handles Hello and its proof; other kinds are from newer releases. */
		break;
	}
}

void ht_core_peer_msg(struct ht_core *core, uint64_t peer, const Ht__PeerMsg *msg)
{
	ht_hlc_receive(&core->hlc, msg->clock);
	if (!is_data(msg))
		ht_count(&core->env.counters, HT_C_control_bytes_received, frame_bytes(msg));
	ht_membership_heard(core->membership, peer);
	switch (msg->kind_case) {
	case HT__PEER_MSG__KIND_FORWARD:
		core->router->forward(core->router->ctx, peer, msg->forward);
		break;
	case HT__PEER_MSG__KIND_ANSWER:
		core->router->answer(core->router->ctx, peer, msg->answer);
		break;
	case HT__PEER_MSG__KIND_RETURNED:
		core->router->returned(core->router->ctx, peer, msg->returned);
		break;
	default:
		dispatch_control(core, peer, msg);
		break;
	}
	finish_entry(core);
}

void ht_core_peer_up(struct ht_core *core, const struct ht_instance_info *info,
		     uint64_t incarnation)
{
	ht_membership_peer_up(core->membership, info, incarnation);
	finish_entry(core);
}

void ht_core_peer_down(struct ht_core *core, uint64_t peer, uint64_t incarnation,
		       enum ht_peer_down_reason reason)
{
	ht_membership_peer_down(core->membership, peer, incarnation, reason);
	core->router->peer_down(core->router->ctx, peer, reason);
	finish_entry(core);
}

void ht_core_target_answer(struct ht_core *core, const struct ht_target_answer *ans)
{
	core->router->target_answer(core->router->ctx, ans);
	finish_entry(core);
}

void ht_core_target_state(struct ht_core *core, uint64_t target, enum ht_target_state state)
{
	core->router->target_state(core->router->ctx, target, state);
	finish_entry(core);
}

void ht_core_platform_config(struct ht_core *core, struct ht_config *cfg)
{
	ht_config_service_platform(core->config, cfg);
	ht_relay_head_done(core->relay, cfg ? cfg->version : 0);
	finish_entry(core);
}

void ht_core_live_list(struct ht_core *core, struct ht_revision revision,
		       const struct ht_instance_info *list, int count)
{
	ht_membership_platform_list(core->membership, revision, list, count);
	ht_relay_list_done(core->relay, count >= 0);
	finish_entry(core);
}

void ht_core_advance(struct ht_core *core, ht_ms now)
{
	if (now > core->env.now)
		core->env.now = now;
	ht_wakeups_drop(&core->wakeups, core->env.now);
	if (core->armed <= core->env.now)
		core->armed = HT_NEVER;
	run_ticks(core);
	finish_entry(core);
}

void ht_core_stop(struct ht_core *core)
{
	ht_stop_begin(core->stop);
	finish_entry(core);
}

const struct ht_config *ht_core_config(const struct ht_core *core)
{
	const struct ht_config_if *config = ht_registry_find(core->env.registry, "config");

	return config->current(config->ctx);
}

struct ht_counters *ht_core_counters(struct ht_core *core)
{
	return &core->env.counters;
}

struct ht_registry *ht_core_registry(struct ht_core *core)
{
	return core->env.registry;
}

const struct ht_instance_info *ht_core_instance(const struct ht_core *core, uint64_t id)
{
	return ht_membership_info(core->membership, id);
}

void ht_core_each_instance(const struct ht_core *core,
			   void (*visit)(void *vctx, const struct ht_instance_info *info,
					 bool live),
			   void *vctx)
{
	ht_membership_each(core->membership, visit, vctx);
}
