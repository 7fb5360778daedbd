#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool ht_err_set(struct ht_err *err, enum ht_err_code code, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return false;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return false;
}

bool ht_err_prefix(struct ht_err *err, const char *fmt, ...)
{
	char prefix[sizeof(err->text)];
	char old[sizeof(err->text)];
	va_list ap;

	if (!err)
		return false;
	va_start(ap, fmt);
	vsnprintf(prefix, sizeof(prefix), fmt, ap);
	va_end(ap);
	memcpy(old, err->text, sizeof(old));
	if (snprintf(err->text, sizeof(err->text), "%s: %s", prefix, old) < 0)
		err->text[0] = '\0';
	return false;
}
