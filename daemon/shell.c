#include "daemon/shell.h"

#include "wire/peer.pb-c.h"

#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RING_EVENTS 4096

/* The core, with its clock at the present time: leases must be judged by it before any send. */
static struct ht_core *core_now(struct ht_shell *sh)
{
	ht_ms now = ht_clock_now(&ht_clock_monotonic);

	if (now > sh->advanced) {
		sh->advanced = now;
		ht_core_advance(sh->core, now);
	}
	return sh->core;
}

static bool op_send_peer(void *ctx, uint64_t peer, const Ht__PeerMsg *msg)
{
	struct ht_shell *sh = ctx;
	Ht__PeerMsg stamped = *msg;

	if (!stamped.clock)
		stamped.clock = ht_log_clock(&sh->log);
	return ht_peers_send(sh->peers, peer, &stamped);
}

static void op_answer(void *ctx, uint64_t handle, const struct ht_answer *answer)
{
	struct ht_shell *sh = ctx;

	if (!ht_caller_answer(sh->caller, handle, answer))
		ht_log_event(&sh->log, HT_EV_CALLBACK_UNKNOWN, 0, 0, "handle=%" PRIu64, handle);
}

static void op_send_target(void *ctx, const struct ht_target_request *req)
{
	struct ht_shell *sh = ctx;

	ht_target_pool_send(sh->targets, req);
}

static void op_cancel_target(void *ctx, uint64_t target, uint64_t id)
{
	struct ht_shell *sh = ctx;

	ht_target_pool_cancel(sh->targets, target, id);
}

static void op_open_target(void *ctx, const struct ht_target_conf *conf, const char *service_name)
{
	struct ht_shell *sh = ctx;

	ht_target_pool_open(sh->targets, conf, service_name);
}

static void op_close_target(void *ctx, uint64_t target)
{
	struct ht_shell *sh = ctx;

	ht_target_pool_close(sh->targets, target);
}

static void op_arm_timer(void *ctx, ht_ms due)
{
	struct ht_shell *sh = ctx;
	ht_ms now = ht_clock_now(&ht_clock_monotonic);

	sh->due = due;
	ev_timer_stop(sh->loop, &sh->timer);
	if (due == HT_NEVER)
		return;
	ev_timer_set(&sh->timer, due > now ? (double)(due - now) / 1000.0 : 0, 0);
	ev_timer_start(sh->loop, &sh->timer);
}

static void op_platform(void *ctx, enum ht_platform_call call, struct ht_revision known,
			const char *body)
{
	struct ht_shell *sh = ctx;

	ht_config_source_call(sh->source, call, known, body);
}

static void op_log_event(void *ctx, const struct ht_event *ev)
{
	struct ht_shell *sh = ctx;

	ht_log_add(&sh->log, ev);
}

static void op_stopped(void *ctx)
{
	struct ht_shell *sh = ctx;

	ht_log_event(&sh->log, HT_EV_STOPPED, 0, 0, "name=%s", sh->settings->name);
	ev_break(sh->loop, EVBREAK_ALL);
}

static const struct ht_core_ops core_ops = {
	.send_peer = op_send_peer,
	.answer = op_answer,
	.send_target = op_send_target,
	.cancel_target = op_cancel_target,
	.open_target = op_open_target,
	.close_target = op_close_target,
	.arm_timer = op_arm_timer,
	.platform = op_platform,
	.log_event = op_log_event,
	.stopped = op_stopped,
};

static void on_timer(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_shell *sh = w->data;

	(void)loop;
	(void)revents;
	core_now(sh);
	/* libev's time is cached, so the timer may end early; the core must not miss its time. */
	if (sh->advanced < sh->due && !ev_is_active(&sh->timer))
		op_arm_timer(sh, sh->due);
}

static void on_request(void *ctx, uint64_t handle, const struct ht_request *req)
{
	struct ht_shell *sh = ctx;

	ht_core_request(core_now(sh), handle, req);
}

static const struct ht_caller_ops caller_ops = {.request = on_request};

static void on_target_answer(void *ctx, const struct ht_target_answer *ans)
{
	struct ht_shell *sh = ctx;

	ht_core_target_answer(core_now(sh), ans);
}

static void on_target_state(void *ctx, uint64_t target, enum ht_target_state state)
{
	struct ht_shell *sh = ctx;

	ht_core_target_state(core_now(sh), target, state);
}

static const struct ht_target_pool_ops target_ops = {
	.answer = on_target_answer,
	.state = on_target_state,
};

static void on_peer_up(void *ctx, const struct ht_instance_info *info, uint64_t incarnation)
{
	struct ht_shell *sh = ctx;

	ht_core_peer_up(core_now(sh), info, incarnation);
}

static void on_peer_down(void *ctx, uint64_t peer, uint64_t incarnation,
			 enum ht_peer_down_reason reason)
{
	struct ht_shell *sh = ctx;

	ht_core_peer_down(core_now(sh), peer, incarnation, reason);
}

struct listing {
	struct ht_instance_info *infos;
	size_t count, capacity;
};

static void list_instance(void *ctx, const struct ht_instance_info *info, bool live)
{
	struct listing *l = ctx;

	(void)live;
	if (l->count == l->capacity) {
		size_t capacity = l->capacity ? l->capacity * 2 : 64;
		void *infos = realloc(l->infos, capacity * sizeof(*l->infos));

		if (!infos)
			return;
		l->infos = infos;
		l->capacity = capacity;
	}
	l->infos[l->count++] = *info;
}

/* The list may come from the platform or from a relay; the core knows the merged one. */
static void learn_instances(struct ht_shell *sh)
{
	struct listing l = {0};

	ht_core_each_instance(sh->core, list_instance, &l);
	ht_peers_learn(sh->peers, l.infos, l.count, true);
	free(l.infos);
}

static void on_peer_message(void *ctx, uint64_t peer, const Ht__PeerMsg *msg)
{
	struct ht_shell *sh = ctx;

	ht_core_peer_msg(core_now(sh), peer, msg);
	if (msg->kind_case == HT__PEER_MSG__KIND_LIVE_LIST)
		learn_instances(sh);
}

static const struct ht_peers_ops peer_ops = {
	.up = on_peer_up,
	.down = on_peer_down,
	.message = on_peer_message,
};

static void on_config(void *ctx, struct ht_config *cfg)
{
	struct ht_shell *sh = ctx;

	ht_core_platform_config(core_now(sh), cfg);
}

static void on_live(void *ctx, struct ht_revision revision, const struct ht_instance_info *list,
		    int count)
{
	struct ht_shell *sh = ctx;

	ht_core_live_list(core_now(sh), revision, list, count);
	if (count >= 0)
		learn_instances(sh);
}

static const struct ht_config_source_ops source_ops = {
	.config = on_config,
	.live = on_live,
};

/* The core may adopt a configuration in any call, so this is checked once in each round. */
static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int revents)
{
	struct ht_shell *sh = w->data;
	struct ht_config *cfg = (struct ht_config *)ht_core_config(sh->core);

	(void)loop;
	(void)revents;
	if (cfg == sh->config)
		return;
	ht_config_put(sh->config);
	sh->config = cfg ? ht_config_get(cfg) : NULL;
	if (cfg)
		ht_caller_configure(sh->caller, cfg);
}

static void on_signal(struct ev_loop *loop, struct ev_signal *w, int revents)
{
	struct ht_shell *sh = w->data;

	(void)loop;
	(void)revents;
	if (sh->stopping)
		return;
	sh->stopping = true;
	ht_log_event(&sh->log, HT_EV_STOPPING, 0, 0, "signal=%d", w->signum);
	ht_core_stop(core_now(sh));
}

static void fill_params(struct ht_shell *sh)
{
	struct ht_core_params *p = &sh->params;

	ht_core_params_default(p);
	ht_settings_apply(sh->settings, p);
	p->ops = &core_ops;
	p->ctx = sh;
	p->now = sh->advanced = ht_clock_now(&ht_clock_monotonic);
	p->wall = ht_clock_wall();
	do {
		randombytes_buf(&p->incarnation, sizeof(p->incarnation));
	} while (!p->incarnation);
	randombytes_buf(&p->seed, sizeof(p->seed));
	randombytes_buf(p->ticket_key, sizeof(p->ticket_key));
}

static bool open_caller(struct ht_shell *sh, struct ht_err *err)
{
	struct ht_caller_params p = {
		.loop = sh->loop,
		.ops = &caller_ops,
		.ctx = sh,
		.log = &sh->log,
		.counters = &sh->counters,
		.region = sh->settings->region,
		.bind_ip = sh->settings->bind_ip,
	};

	sh->caller = ht_caller_new(&p, err);
	return sh->caller != NULL;
}

static bool open_targets(struct ht_shell *sh, struct ht_err *err)
{
	struct ht_target_pool_params p = {
		.loop = sh->loop,
		.ops = &target_ops,
		.ctx = sh,
		.log = &sh->log,
		.counters = &sh->counters,
	};

	sh->targets = ht_target_pool_new(&p, err);
	return sh->targets != NULL;
}

static bool open_peers(struct ht_shell *sh, const uint8_t key[HT_KEY_LEN], struct ht_err *err)
{
	struct ht_peers_params p = {
		.loop = sh->loop,
		.ops = &peer_ops,
		.ctx = sh,
		.log = &sh->log,
		.counters = &sh->counters,
		.self = sh->params.self,
		.incarnation = sh->params.incarnation,
	};

	memcpy(p.key, key, HT_KEY_LEN);
	sh->peers = ht_peers_new(&p, err);
	sodium_memzero(p.key, sizeof(p.key));
	return sh->peers != NULL;
}

static bool open_source(struct ht_shell *sh, struct ht_err *err)
{
	char address[HT_ADDR_TEXT];
	struct ht_config_source_params p = {
		.loop = sh->loop,
		.ops = &source_ops,
		.ctx = sh,
		.log = &sh->log,
		.counters = &sh->counters,
		.platform = ht_addr_format(&sh->settings->platform_address, address),
		.dc = sh->settings->data_centre,
	};

	sh->source = ht_config_source_new(&p, err);
	return sh->source != NULL;
}

static void start_watchers(struct ht_shell *sh)
{
	ev_prepare_init(&sh->prepare, on_prepare);
	ev_signal_init(&sh->term, on_signal, SIGTERM);
	ev_signal_init(&sh->intr, on_signal, SIGINT);
	sh->prepare.data = sh->term.data = sh->intr.data = sh;
	ev_prepare_start(sh->loop, &sh->prepare);
	ev_signal_start(sh->loop, &sh->term);
	ev_signal_start(sh->loop, &sh->intr);
}

/* The core comes last: it may act through its callbacks as soon as it exists. */
static bool open_all(struct ht_shell *sh, const uint8_t key[HT_KEY_LEN], struct ht_err *err)
{
	ev_timer_init(&sh->timer, on_timer, 0, 0);
	sh->timer.data = sh;
	fill_params(sh);
	sh->log.ring = ht_event_ring_new(RING_EVENTS);
	if (!sh->log.ring)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	if (!open_peers(sh, key, err) || !open_caller(sh, err) || !open_targets(sh, err) ||
	    !open_source(sh, err))
		return false;
	sh->admin = ht_admin_new(sh->loop, &sh->settings->admin_address, ht_status_pages, sh, err);
	if (!sh->admin)
		return false;
	sh->core = ht_core_new(&sh->params);
	return sh->core || ht_err_set(err, HT_ENOMEM, "the core cannot be created");
}

struct ht_shell *ht_shell_new(struct ev_loop *loop, const struct ht_settings *settings,
			      const uint8_t key[HT_KEY_LEN], enum ht_level level,
			      struct ht_err *err)
{
	struct ht_shell *sh = calloc(1, sizeof(*sh));

	if (!sh) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	sh->loop = loop;
	sh->settings = settings;
	sh->log.process = settings->name;
	sh->log.max = level;
	if (!open_all(sh, key, err)) {
		ht_shell_free(sh);
		return NULL;
	}
	start_watchers(sh);
	ht_log_event(&sh->log, HT_EV_STARTED, 0, 0, "name=%s dc=%s incarnation=%016" PRIx64,
		     settings->name, settings->data_centre, sh->params.incarnation);
	return sh;
}

void ht_shell_run(struct ht_shell *shell)
{
	/* Starts what the core wants to do at the beginning. */
	ht_core_advance(shell->core, shell->advanced);
	ev_run(shell->loop, 0);
	ht_peers_flush(shell->peers);
}

void ht_shell_free(struct ht_shell *shell)
{
	ev_prepare_stop(shell->loop, &shell->prepare);
	ev_signal_stop(shell->loop, &shell->term);
	ev_signal_stop(shell->loop, &shell->intr);
	ev_timer_stop(shell->loop, &shell->timer);
	/* The core goes first, since it may still act while it ends. */
	if (shell->core)
		ht_core_free(shell->core);
	ht_admin_free(shell->admin);
	ht_config_source_free(shell->source);
	ht_peers_free(shell->peers);
	ht_target_pool_free(shell->targets);
	ht_caller_free(shell->caller);
	ht_config_put(shell->config);
	ht_event_ring_free(shell->log.ring);
	free(shell);
}
