/* Spread of configurations among instances; follows when the rules parser is in the tree. */
#include "core/config_service.h"

void ht_config_keep_change(struct ht_config_service *c, const struct ht_config *next)
{
	(void)c;
	(void)next;
}

void ht_config_free_changes(struct ht_config_service *c)
{
	(void)c;
}

void ht_config_free_assembly(struct ht_config_service *c)
{
	(void)c;
}

void ht_config_service_pull(struct ht_config_service *c, uint64_t peer, const Ht__ConfigPull *msg)
{
	(void)c;
	(void)peer;
	(void)msg;
}

void ht_config_service_data(struct ht_config_service *c, uint64_t peer, const Ht__ConfigData *msg)
{
	(void)c;
	(void)peer;
	(void)msg;
}
