#include "rules/internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static bool add_address(json_t *map, const struct ht_addr *addr, const char *service)
{
	char text[HT_ADDR_TEXT];

	return json_object_set_new(map, ht_addr_format(addr, text), json_string(service)) == 0;
}

/* Returns a map from each address of @cfg, of services and targets, to its service's name. */
static json_t *addresses_of(const struct ht_config *cfg)
{
	json_t *map = json_object();
	bool ok = map != NULL;

	for (size_t i = 0; ok && cfg && i < cfg->service_count; i++) {
		const struct ht_service_conf *svc = &cfg->services[i];

		ok = add_address(map, &svc->addr, svc->name);
		for (size_t k = 0; ok && k < svc->target_count; k++)
			ok = add_address(map, &svc->targets[k].addr, svc->name);
	}
	if (ok)
		return map;
	json_decref(map);
	return NULL;
}

struct check {
	json_t *used;	 /* address to service, accepted */
	json_t *retired; /* "address" to [[service, ms of waiting left]...] */
	struct ht_rules_errors *errors;
};

static void check_retired(struct check *c, const struct ht_rules_line *line, unsigned int i,
			  const char *addr)
{
	json_t *list = json_object_get(c->retired, addr), *entry;
	size_t k;

	json_array_foreach(list, k, entry)
	{
		const char *service = json_string_value(json_array_get(entry, 0));
		long long left = json_integer_value(json_array_get(entry, 1));
		char hint[64];

		if (strcmp(service, line->words[1].text) == 0)
			continue;
		snprintf(hint, sizeof(hint), "apply it again in %lld s", (left + 999) / 1000);
		ht_rules_errors_add(c->errors, line->number, line->words[i].column, hint,
				    "address %s was taken from service '%s' less than %d s ago",
				    addr, service, HT_RULES_RETIRED_MS / 1000);
	}
}

static void check_line(void *ctx, const char *text, size_t len, unsigned int number)
{
	struct check *c = ctx;
	struct ht_rules_line line;
	struct ht_addr addr;
	char buf[HT_ADDR_TEXT];
	const char *owner;
	unsigned int i = 0;

	if (!ht_rules_split(text, len, number, &line, c->errors))
		return;
	while (i < line.count && strcmp(line.words[i].text, "address") != 0)
		i++;
	if (i < 2 || ++i >= line.count || !ht_addr_parse(&addr, line.words[i].text, NULL))
		return;
	ht_addr_format(&addr, buf);
	owner = json_string_value(json_object_get(c->used, buf));
	if (owner && strcmp(owner, line.words[1].text) != 0)
		ht_rules_errors_add(c->errors, line.number, line.words[i].column,
				    "remove it there first, then wait 60 s",
				    "address %s still belongs to service '%s'", buf, owner);
	check_retired(c, &line, i, buf);
}

static json_t *retired_map(const struct ht_rules_retired_list *retired, ht_ms now)
{
	json_t *map = json_object();

	for (size_t i = 0; map && i < retired->count; i++) {
		const struct ht_rules_retired *r = &retired->items[i];
		json_t *list = json_object_get(map, r->address);
		ht_ms left = r->at + HT_RULES_RETIRED_MS - now;

		if (left <= 0)
			continue;
		if (!list) {
			list = json_array();
			json_object_set_new(map, r->address, list);
		}
		json_array_append_new(list, json_pack("[sI]", r->service, (json_int_t)left));
	}
	return map;
}

bool ht_rules_check_change(const struct ht_config *accepted, const char *next,
			   const struct ht_rules_retired_list *retired, ht_ms now,
			   struct ht_rules_errors *errors)
{
	struct check c = {.errors = errors};
	size_t before = errors->total;

	c.used = addresses_of(accepted);
	c.retired = retired_map(retired, now);
	if (c.used && c.retired)
		ht_rules_each_line(next, strlen(next), check_line, &c);
	else
		ht_rules_errors_add(errors, 0, 0, NULL, "out of memory");
	json_decref(c.used);
	json_decref(c.retired);
	return errors->total == before;
}

static bool retire(struct ht_rules_retired_list *out, const char *address, const char *service,
		   ht_ms at)
{
	struct ht_rules_retired *items;

	items = realloc(out->items, (out->count + 1) * sizeof(*items));
	if (!items)
		return false;
	out->items = items;
	items += out->count++;
	snprintf(items->address, sizeof(items->address), "%s", address);
	snprintf(items->service, sizeof(items->service), "%s", service);
	items->at = at;
	return true;
}

bool ht_rules_retire(const struct ht_config *accepted, const struct ht_config *next,
		     const struct ht_rules_retired_list *old, ht_ms now,
		     struct ht_rules_retired_list *out)
{
	json_t *before = addresses_of(accepted), *after = addresses_of(next), *service;
	const char *addr;
	bool ok = before && after;

	*out = (struct ht_rules_retired_list){0};
	for (size_t i = 0; ok && i < old->count; i++)
		if (old->items[i].at + HT_RULES_RETIRED_MS > now)
			ok = retire(out, old->items[i].address, old->items[i].service,
				    old->items[i].at);
	json_object_foreach(before, addr, service)
	{
		if (ok && !json_object_get(after, addr))
			ok = retire(out, addr, json_string_value(service), now);
	}
	json_decref(before);
	json_decref(after);
	return ok;
}
