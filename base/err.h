/* Error struct that callers pass down and functions fill in. */
#ifndef HT_BASE_ERR_H
#define HT_BASE_ERR_H

#include <stdbool.h>

enum ht_err_code {
	HT_OK = 0,
	HT_EINVAL,    /**< bad input from outside */
	HT_ENOMEM,    /**< allocation failed or a bound was reached */
	HT_EIO,	      /**< a system call or a peer failed */
	HT_ECONFLICT, /**< a conditional update lost */
	HT_ENOTFOUND, /**< no such object */
	HT_EUNKNOWN,  /**< outcome of an update is not known */
	HT_EAUTH,     /**< proof of the shared key failed */
	HT_EVERSION,  /**< protocol versions do not fit */
};

/** Filled in on failure; text says what failed and where. */
struct ht_err {
	enum ht_err_code code;
	char text[256];
};

/** Sets @err (may be NULL) and returns false, so that callers can `return ht_err_set(...)`. */
bool ht_err_set(struct ht_err *err, enum ht_err_code code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Puts "prefix: " before the text of @err (may be NULL); returns false. */
bool ht_err_prefix(struct ht_err *err, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#endif
