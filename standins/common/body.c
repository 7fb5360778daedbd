#include "standins/common/body.h"

#include "base/hash.h"

#include <inttypes.h>
#include <string.h>

GString *ht_si_body(const char *service, const char *path, const char *id)
{
	GString *s = g_string_new(NULL);
	uint64_t h;
	size_t size;

	g_string_printf(s, "%s %s %s\n", service, path, id);
	if (strcmp(path, "pattern") != 0)
		return s;
	h = ht_hash_str(s->str);
	size = 3000 + h % 5000;
	for (uint64_t line = 0; s->len < size; line++)
		g_string_append_printf(s, "%016" PRIx64 "\n", ht_hash_pair(h, line));
	return s;
}
