#include "rules/internal.h"

#include "base/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void config_release(struct ht_ref *ref)
{
	struct ht_config *cfg = (struct ht_config *)ref;

	free(cfg->text);
	free(cfg->services);
	free(cfg->targets);
	free(cfg->by_id);
	free(cfg);
}

struct ht_config *ht_config_new(uint64_t version, const char *change_id, const char *text)
{
	struct ht_config *cfg = calloc(1, sizeof(*cfg));

	if (!cfg)
		return NULL;
	ht_ref_init(&cfg->ref, config_release);
	cfg->version = version;
	snprintf(cfg->change_id, sizeof(cfg->change_id), "%s", change_id ? change_id : "");
	cfg->text = strdup(text ? text : "");
	return cfg;
}

void ht_config_put(struct ht_config *cfg)
{
	if (cfg)
		ht_ref_put(&cfg->ref);
}

/* Grows an array by one element; capacity doubles at powers of two. */
static void *grow(void *array, size_t count, size_t size)
{
	if (count && (count & (count - 1)))
		return array;
	return realloc(array, (count ? count * 2 : 1) * size);
}

bool ht_config_add_service(struct ht_config *cfg, const struct ht_service_conf *svc)
{
	struct ht_service_conf *a = grow(cfg->services, cfg->service_count, sizeof(*a));

	if (!a)
		return false;
	cfg->services = a;
	a += cfg->service_count++;
	*a = *svc;
	a->id = ht_hash_str(svc->name);
	return true;
}

bool ht_config_copy_target(struct ht_config *cfg, const struct ht_target_conf *target)
{
	struct ht_target_conf *a = grow(cfg->targets, cfg->target_count, sizeof(*a));

	if (!a)
		return false;
	cfg->targets = a;
	a[cfg->target_count++] = *target;
	return true;
}

bool ht_config_add_target(struct ht_config *cfg, const char *service,
			  const struct ht_target_conf *target)
{
	struct ht_target_conf t = *target;
	char text[HT_ADDR_TEXT];

	t.id = ht_hash_str(ht_addr_format(&target->addr, text));
	t.service = ht_hash_str(service);
	return ht_config_copy_target(cfg, &t);
}

static int compare_u64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static int compare_services(const void *a, const void *b)
{
	const struct ht_service_conf *x = a, *y = b;

	return compare_u64(x->id, y->id);
}

static int compare_targets(const void *a, const void *b)
{
	const struct ht_target_conf *x = a, *y = b;
	int c = compare_u64(x->service, y->service);

	return c ? c : compare_u64(x->id, y->id);
}

static int compare_by_id(const void *a, const void *b)
{
	const struct ht_target_conf *const *x = a, *const *y = b;

	return compare_u64((*x)->id, (*y)->id);
}

static void link_targets(struct ht_config *cfg, struct ht_service_conf *svc, size_t *next)
{
	while (*next < cfg->target_count && cfg->targets[*next].service < svc->id)
		(*next)++;
	svc->targets = cfg->targets ? cfg->targets + *next : NULL;
	svc->target_count = 0;
	svc->target_set = svc->id;
	while (*next < cfg->target_count && cfg->targets[*next].service == svc->id) {
		const struct ht_target_conf *t = &cfg->targets[(*next)++];

		svc->target_set = ht_hash_pair(svc->target_set, t->id);
		svc->target_set = ht_hash_pair(svc->target_set, ht_hash(&t->weight, 8));
		svc->target_count++;
	}
}

static bool index_targets(struct ht_config *cfg, struct ht_err *err)
{
	cfg->by_id = calloc(cfg->target_count + 1, sizeof(*cfg->by_id));
	if (!cfg->by_id)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	for (size_t i = 0; i < cfg->target_count; i++)
		cfg->by_id[i] = &cfg->targets[i];
	qsort(cfg->by_id, cfg->target_count, sizeof(*cfg->by_id), compare_by_id);
	for (size_t i = 1; i < cfg->target_count; i++) {
		if (cfg->by_id[i]->id == cfg->by_id[i - 1]->id)
			return ht_err_set(err, HT_EINVAL, "targets '%s' and '%s' have one address",
					  cfg->by_id[i - 1]->name, cfg->by_id[i]->name);
	}
	return true;
}

bool ht_config_seal(struct ht_config *cfg, struct ht_err *err)
{
	size_t next = 0;

	if (cfg->service_count)
		qsort(cfg->services, cfg->service_count, sizeof(*cfg->services), compare_services);
	if (cfg->target_count)
		qsort(cfg->targets, cfg->target_count, sizeof(*cfg->targets), compare_targets);
	for (size_t i = 0; i < cfg->service_count; i++)
		link_targets(cfg, &cfg->services[i], &next);
	return index_targets(cfg, err);
}

const struct ht_service_conf *ht_config_service(const struct ht_config *cfg, uint64_t id)
{
	struct ht_service_conf key = {.id = id};

	if (!cfg->service_count)
		return NULL;
	return bsearch(&key, cfg->services, cfg->service_count, sizeof(key), compare_services);
}

const struct ht_target_conf *ht_config_target(const struct ht_config *cfg, uint64_t id)
{
	struct ht_target_conf key = {.id = id};
	const struct ht_target_conf *k = &key;
	const struct ht_target_conf **found;

	if (!cfg->target_count)
		return NULL;
	found = bsearch(&k, cfg->by_id, cfg->target_count, sizeof(k), compare_by_id);
	return found ? *found : NULL;
}
