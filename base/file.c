#include "base/file.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

char *ht_read_stream(FILE *f, const char *path, size_t max, size_t *len, struct ht_err *err)
{
	char *text = malloc(max + 1);

	if (!text) {
		ht_err_set(err, HT_ENOMEM, "%s: out of memory", path);
		return NULL;
	}
	*len = fread(text, 1, max + 1, f);
	if (!ferror(f) && *len <= max) {
		text[*len] = '\0';
		return text;
	}
	if (ferror(f))
		ht_err_set(err, HT_EIO, "%s: cannot be read", path);
	else
		ht_err_set(err, HT_EINVAL, "%s: larger than %zu bytes", path, max);
	free(text);
	return NULL;
}

char *ht_read_file(const char *path, size_t max, size_t *len, struct ht_err *err)
{
	FILE *f = fopen(path, "re");
	char *text;

	if (!f) {
		ht_err_set(err, HT_EIO, "%s: %s", path, strerror(errno));
		return NULL;
	}
	text = ht_read_stream(f, path, max, len, err);
	fclose(f);
	return text;
}
