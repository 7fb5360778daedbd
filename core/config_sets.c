/* Earlier target sets of services, kept for one flow idle timeout to find flows placed by them. */
#include "core/config_service.h"

#include <stdlib.h>
#include <string.h>

static void free_set(struct ht_previous_set *s)
{
	free(s->targets);
}

static void remove_at(struct ht_config_service *c, size_t i)
{
	free_set(&c->previous[i]);
	memmove(c->previous + i, c->previous + i + 1,
		(c->previous_count - i - 1) * sizeof(*c->previous));
	c->previous_count--;
}

/* Removes sets that are too old, in use again, or beyond the number kept per service. */
static void prune(struct ht_config_service *c, const struct ht_service_conf *now,
		  const struct ht_service_conf *old)
{
	unsigned int kept = 0;

	for (size_t i = 0; i < c->previous_count;) {
		const struct ht_previous_set *s = &c->previous[i];
		bool stale = c->env->now >= s->replaced_at + c->env->params.flow_idle;

		if (s->service.id == now->id) {
			stale |= s->service.target_set == now->target_set ||
				 s->service.target_set == old->target_set ||
				 kept + 1 >= HT_PREVIOUS_SETS;
			kept += !stale;
		}
		if (stale)
			remove_at(c, i);
		else
			i++;
	}
}

static void push(struct ht_config_service *c, const struct ht_service_conf *old)
{
	struct ht_previous_set *a = realloc(c->previous, (c->previous_count + 1) * sizeof(*a));
	struct ht_previous_set set = {.service = *old, .replaced_at = c->env->now};

	if (!a)
		return;
	c->previous = a;
	set.targets = calloc(old->target_count + 1, sizeof(*set.targets));
	if (!set.targets)
		return;
	if (old->target_count)
		memcpy(set.targets, old->targets, old->target_count * sizeof(*set.targets));
	set.service.targets = set.targets;
	memmove(a + 1, a, c->previous_count * sizeof(*a));
	a[0] = set;
	c->previous_count++;
}

void ht_config_save_target_sets(struct ht_config_service *c, const struct ht_config *next)
{
	for (size_t i = 0; c->current && i < next->service_count; i++) {
		const struct ht_service_conf *now = &next->services[i];
		const struct ht_service_conf *old = ht_config_service(c->current, now->id);

		if (!old || old->target_set == now->target_set)
			continue;
		prune(c, now, old);
		push(c, old);
	}
}

const struct ht_service_conf *ht_config_previous(const struct ht_config_service *c,
						 uint64_t service, unsigned int k)
{
	for (size_t i = 0; i < c->previous_count; i++) {
		const struct ht_previous_set *s = &c->previous[i];

		if (s->service.id != service)
			continue;
		if (c->env->now >= s->replaced_at + c->env->params.flow_idle)
			return NULL;
		if (k-- == 0)
			return &s->service;
	}
	return NULL;
}

void ht_config_free_target_sets(struct ht_config_service *c)
{
	for (size_t i = 0; i < c->previous_count; i++)
		free_set(&c->previous[i]);
	free(c->previous);
}
