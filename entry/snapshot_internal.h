/* Shared by snapshot.c, which encodes snapshots, and snapshot_apply.c. */
#ifndef HT_ENTRY_SNAPSHOT_INTERNAL_H
#define HT_ENTRY_SNAPSHOT_INTERNAL_H

#include "entry/snapshot.h"

/** Version of the snapshot format, sent in requests and answers; any other is refused. */
#define HT_SNAPSHOT_FORMAT 3

/** Maximum length of a 64-bit number in hexadecimal. */
#define HT_SNAPSHOT_DIGITS_MAX 16

/**
 * Content of messages, see wire/entry.proto. Routes of a build before HT_CONTENT_SHARES may lack
 * services, and it does not know evacuations.
 */
enum ht_snapshot_content {
	HT_CONTENT_SHARES = 1,
	HT_CONTENT_WARMUP = 2,
};

#endif
