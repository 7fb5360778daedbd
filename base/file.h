/* Reading of whole small files. */
#ifndef HT_BASE_FILE_H
#define HT_BASE_FILE_H

#include "base/err.h"

#include <stddef.h>
#include <stdio.h>

/** Reads at most @max bytes; returns an allocated text that ends with NUL, or NULL. */
char *ht_read_file(const char *path, size_t max, size_t *len, struct ht_err *err);
/** The same from the open stream @f, which @path names in errors. */
char *ht_read_stream(FILE *f, const char *path, size_t max, size_t *len, struct ht_err *err);

#endif
