/* Error report: the caller passes a struct, and a function that fails fills it in. */
#ifndef HT_BASE_ERR_H
#define HT_BASE_ERR_H

#include <stdbool.h>

enum ht_err_code {
	HT_OK = 0,
	HT_EINVAL,    /**< invalid external input */
	HT_ENOMEM,    /**< allocation failed or a size limit was reached */
	HT_EIO,	      /**< a system call or a peer failed */
	HT_ECONFLICT, /**< a conditional update found another version */
	HT_ENOTFOUND, /**< the object does not exist */
	HT_EUNKNOWN,  /**< whether an update took effect is not known */
	HT_EAUTH,     /**< the peer did not prove that it has the shared key */
	HT_EVERSION,  /**< protocol versions are incompatible */
};

/** Valid only after a failure; @text says what failed and where. */
struct ht_err {
	enum ht_err_code code;
	char text[256];
};

/** Sets @err (may be NULL). Returns false, so that callers can `return ht_err_set(...)`. */
bool ht_err_set(struct ht_err *err, enum ht_err_code code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Prepends "prefix: " to the text of @err (may be NULL). Returns false. */
bool ht_err_prefix(struct ht_err *err, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#endif
