/* Encoding of sums of load (core/load.h) as EntryLoad (wire/entry.proto). */
#ifndef HT_ENTRY_LOAD_CODEC_H
#define HT_ENTRY_LOAD_CODEC_H

#include "core/load.h"
#include "wire/entry.pb-c.h"

/** Kinds of EntryLoad. */
enum ht_load_kind {
	HT_LOAD_REPORT = 1, /**< from a member to its collector */
	HT_LOAD_SUM,	    /**< of a data centre, from collector to collector */
	HT_LOAD_VIEW,	    /**< from a collector to its members */
};

/** Largest number of instances that the sum of a data centre may stand for. */
#define HT_LOAD_INSTANCES_MAX 65536

/** Classes of a service. */
struct ht_load_classes {
	uint32_t service;
	size_t count;
	struct ht_load_terms terms[HT_LOAD_CLASSES_MAX];
};

/** What the figures of a message are about. */
struct ht_load_names {
	size_t dc_count, service_count;
	uint32_t dcs[HT_LOAD_DCS_MAX]; /**< the sender's first */
	struct ht_load_classes services[HT_LOAD_SERVICES_MAX];
};

/** Hash to which a message can refer instead of carrying the names; never 0. */
uint32_t ht_load_names_hash(const struct ht_load_names *names);

/** A message with its arrays. */
struct ht_load_message {
	Ht__EntryLoad msg; /**< refers to the arrays below */
	struct ht_load_names names;
	uint32_t services[HT_LOAD_SERVICES_MAX];
	uint32_t terms[HT_LOAD_SERVICES_MAX * (1 + 3 * HT_LOAD_CLASSES_MAX)];
	uint32_t instances[HT_LOAD_DCS_MAX], ages[HT_LOAD_DCS_MAX];
	uint8_t demand[HT_LOAD_DCS_MAX * HT_LOAD_SERVICES_MAX * HT_LOAD_CLASSES_MAX * 2];
	uint8_t work[HT_LOAD_SERVICES_MAX * HT_LOAD_CLASSES_MAX];
	uint8_t places[2 * HT_LOAD_SERVICES_MAX * HT_LOAD_DCS_MAX * 4];
	uint32_t marks[HT_LOAD_TARGETS_MAX], open[HT_LOAD_TARGETS_MAX], flows[HT_LOAD_TARGETS_MAX];
};

/**
 * Encodes @count sums (1 to HT_LOAD_DCS_MAX) of different data centres, the sender's first. Places
 * of the other sums are added up, and the most loaded targets of all sums are listed, at most
 * @targets. If @base (may be NULL) has all names, the message refers to it. The caller sets the
 * fields up to `forwarded`.
 */
void ht_load_encode(struct ht_load_message *m, const struct ht_load_sum *const *sums, size_t count,
		    size_t targets, const struct ht_load_names *base);

/**
 * Decodes @msg into @out, its names into @names. @known: names to which it may refer. Added places
 * are attributed to the second sum, targets to the first. False if it is malformed or refers to
 * unknown names; @out and @names are then undefined.
 */
bool ht_load_decode(const Ht__EntryLoad *msg, const struct ht_load_names *known, size_t known_count,
		    struct ht_load_view *out, struct ht_load_names *names);

#endif
