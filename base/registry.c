#include "base/registry.h"

#include <stdlib.h>
#include <string.h>

#define MAX_INTERFACES 32

struct entry {
	const char *name;
	void *iface;
};

struct ht_registry {
	struct entry entries[MAX_INTERFACES];
	int count;
};

struct ht_registry *ht_registry_new(void)
{
	return calloc(1, sizeof(struct ht_registry));
}

void ht_registry_free(struct ht_registry *reg)
{
	free(reg);
}

void *ht_registry_find(const struct ht_registry *reg, const char *name)
{
	for (int i = 0; i < reg->count; i++)
		if (strcmp(reg->entries[i].name, name) == 0)
			return reg->entries[i].iface;
	return NULL;
}

bool ht_registry_add(struct ht_registry *reg, const char *name, void *iface)
{
	if (reg->count == MAX_INTERFACES || ht_registry_find(reg, name))
		return false;
	reg->entries[reg->count++] = (struct entry){.name = name, .iface = iface};
	return true;
}
