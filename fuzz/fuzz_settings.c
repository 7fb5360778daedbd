/* The settings file: any text. */
#include "daemon/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ht_core_params params = {0};
	struct ht_settings set;
	struct ht_err err = {0};

	if (ht_settings_parse(&set, "fuzz.json", (const char *)data, size, &err)) {
		ht_settings_apply(&set, &params);
		ht_settings_clear(&set);
	} else if (!err.text[0]) {
		__builtin_trap(); /* refused without a reason */
	}
	return 0;
}
