/* Reads small files into memory. */
#ifndef HT_BASE_FILE_H
#define HT_BASE_FILE_H

#include "base/err.h"

#include <stddef.h>
#include <stdio.h>

/**
 * Reads the whole file and sets @len to its size. Returns an allocated, NUL-terminated text, or
 * NULL with @err set: HT_EIO if it cannot be read, HT_EINVAL if it is larger than @max bytes,
 * HT_ENOMEM.
 */
char *ht_read_file(const char *path, size_t max, size_t *len, struct ht_err *err);
/** Like ht_read_file(), but reads the open stream @f; @path is only used in errors. */
char *ht_read_stream(FILE *f, const char *path, size_t max, size_t *len, struct ht_err *err);

#endif
