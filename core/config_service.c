#include "core/config_service.h"

#include <stdlib.h>
#include <string.h>

static struct ht_config *current(void *ctx)
{
	const struct ht_config_service *c = ctx;

	return c->current;
}

static const struct ht_service_conf *previous_set(void *ctx, uint64_t service, unsigned int k)
{
	return ht_config_previous(ctx, service, k);
}

static uint64_t version_of(const struct ht_config_service *c)
{
	return c->current ? c->current->version : 0;
}

static void announce(struct ht_config_service *c)
{
	Ht__ConfigAnnounce body = HT__CONFIG_ANNOUNCE__INIT;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	uint64_t told[HT_ANNOUNCE_PEERS] = {0};

	body.version = version_of(c);
	msg.kind_case = HT__PEER_MSG__KIND_CONFIG_ANNOUNCE;
	msg.config_announce = &body;
	for (int i = 0; i < HT_ANNOUNCE_PEERS; i++) {
		bool again = false;

		told[i] = ht_membership_random_peer(c->membership);
		for (int k = 0; k < i; k++)
			again |= told[k] == told[i];
		if (told[i] && !again)
			c->env->send(c->env, told[i], &msg);
	}
}

void ht_config_adopt(struct ht_config_service *c, struct ht_config *cfg, const char *source)
{
	const struct ht_targets_if *targets = ht_registry_find(c->env->registry, "targets");

	ht_config_save_target_sets(c, cfg);
	ht_config_save_delta(c, cfg);
	ht_config_put(c->current);
	c->current = ht_config_get(cfg);
	c->want_full_text = false;
	c->pull_until = 0;
	c->tries = 0;
	c->env->emit(c->env, HT_EV_CONFIG_ADOPTED, 0, 0, 0, 0, "version=%llu source=%s",
		     (unsigned long long)cfg->version, source);
	if (targets)
		targets->config_changed(targets->ctx);
	announce(c);
	ht_config_send_pull(c);
}

void ht_config_service_platform(struct ht_config_service *c, struct ht_config *cfg)
{
	uint64_t have = version_of(c);

	if (!cfg)
		return;
	if (cfg->version > have) {
		c->logged_older_version = 0;
		ht_config_adopt(c, cfg, "platform");
	} else if (cfg->version < have && cfg->version != c->logged_older_version) {
		c->logged_older_version = cfg->version;
		c->env->emit(c->env, HT_EV_CONFIG_OLDER_IGNORED, 0, 0, 0, 0,
			     "version=%llu current=%llu source=platform",
			     (unsigned long long)cfg->version, (unsigned long long)have);
	} else if (cfg->version == have && strcmp(cfg->text, c->current->text) != 0) {
		c->env->emit(c->env, HT_EV_CONFIG_CONFLICT, 0, 0, 0, 0, "version=%llu",
			     (unsigned long long)have);
	}
}

void ht_config_service_announce(struct ht_config_service *c, uint64_t peer, uint64_t version)
{
	ht_membership_note_version(c->membership, peer, version);
	if (version <= version_of(c))
		return;
	if (!c->current && c->wanted_version == 0) {
		c->pull_until = c->env->now + HT_PULL_DELAY_MS;
		c->env->wake_at(c->env, c->pull_until);
	}
	if (version > c->wanted_version)
		c->tries = 0;
	if (version >= c->wanted_version) {
		c->wanted_version = version;
		c->wanted_peer = peer;
	}
	ht_config_send_pull(c);
}

static void version_seen(void *ctx, uint64_t peer, uint64_t version)
{
	ht_config_service_announce(ctx, peer, version);
}

void ht_config_send_pull(struct ht_config_service *c)
{
	Ht__ConfigPull pull = HT__CONFIG_PULL__INIT;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	uint64_t peer;

	if (c->wanted_version <= version_of(c) || c->env->now < c->pull_until)
		return;
	pull.have_version = c->want_full_text ? 0 : version_of(c);
	msg.kind_case = HT__PEER_MSG__KIND_CONFIG_PULL;
	msg.config_pull = &pull;
	peer = ht_membership_config_peer(c->membership, c->wanted_version, c->tries++);
	/* No peer of this data centre has it when the announcement came from another one. */
	c->env->send(c->env, peer ? peer : c->wanted_peer, &msg);
	c->pull_until = c->env->now + HT_PULL_TIMEOUT_MS;
	c->env->wake_at(c->env, c->pull_until);
}

static void tick(void *ctx)
{
	struct ht_config_service *c = ctx;

	if (c->wanted_version <= version_of(c))
		return;
	ht_config_send_pull(c);
	c->env->wake_at(c->env, c->pull_until);
}

struct ht_config_service *ht_config_service_new(struct ht_env *env)
{
	struct ht_config_service *c = calloc(1, sizeof(*c));
	const struct ht_membership_if *members = ht_registry_find(env->registry, "membership");

	if (!c)
		return NULL;
	c->env = env;
	c->membership = members->ctx;
	c->iface = (struct ht_config_if){
		.ctx = c, .current = current, .previous_set = previous_set, .seen = version_seen};
	c->tick = (struct ht_tick_if){.ctx = c, .tick = tick};
	ht_registry_add(env->registry, "config", &c->iface);
	ht_registry_add(env->registry, "config.tick", &c->tick);
	return c;
}

void ht_config_service_free(struct ht_config_service *c)
{
	ht_config_free_target_sets(c);
	ht_config_free_deltas(c);
	ht_config_free_assembly(c);
	ht_config_put(c->current);
	free(c);
}
