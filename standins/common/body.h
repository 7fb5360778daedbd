/* Bodies of answers, derived from the request, so that a caller can tell its own answer. */
#ifndef HT_STANDINS_BODY_H
#define HT_STANDINS_BODY_H

#include <glib.h>

/**
 * Body of the answer of @service to the request @id on @path. Path "pattern" gives 3 to 8 KB,
 * any other one line. Free with g_string_free().
 */
GString *ht_si_body(const char *service, const char *path, const char *id);

#endif
