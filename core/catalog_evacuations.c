/* Data centres that the operators have evacuated: their targets get no new flows. */
#include "core/catalog_internal.h"

#include <string.h>

/* Packets without an answer in a row, so that a few dead targets do not count. */
#define STRANDED_MISSES 4

static void set_evacuated(struct ht_catalog *cat, struct ht_dc *dc, bool evacuated, ht_ms now)
{
	struct ht_list *pos;

	if (dc->evacuated == evacuated)
		return;
	dc->evacuated = evacuated;
	ht_list_for_each (pos, &cat->targets) {
		struct ht_target *t = ht_container_of(pos, struct ht_target, node);

		if (t->dc != dc)
			continue;
		if (!evacuated)
			ht_target_assume_cold(t, now);
		ht_catalog_update_eligible(t, now);
	}
	if (cat->observer.evacuation)
		cat->observer.evacuation(cat->observer.ctx, dc, now);
}

/* Ends evacuations that the current era has not confirmed. */
static void end_unconfirmed(struct ht_catalog *cat, ht_ms now)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &cat->dcs) {
		struct ht_dc *dc = ht_container_of(pos, struct ht_dc, node);

		if (dc->evacuated && dc->evacuation_revision.era < cat->era.number)
			set_evacuated(cat, dc, false, now);
	}
}

static void note_change(struct ht_catalog *cat, struct ht_dc *dc, struct ht_revision revision)
{
	dc->evacuation_revision = revision;
	cat->evacuations = ht_revision_max(cat->evacuations, revision);
}

/* True if the request at @revision comes from a backup of the store and had been taken back. */
static bool is_restored(const struct ht_catalog *cat, const struct ht_dc *dc,
			struct ht_revision revision)
{
	return !dc->evacuated && dc->evacuation_revision.number &&
	       dc->evacuation_revision.era < revision.era && !cat->era.lapsed &&
	       revision.number <= cat->era.first_revision &&
	       revision.number <= dc->evacuation_revision.number;
}

static bool any_target_eligible(const struct ht_catalog *cat)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &cat->dcs)
		if (ht_container_of(pos, const struct ht_dc, node)->eligible)
			return true;
	return false;
}

enum ht_catalog_change ht_catalog_put_evacuation(struct ht_catalog *cat, const char *dc,
						 bool evacuated, struct ht_revision revision,
						 ht_ms now)
{
	struct ht_dc *d = ht_catalog_dc(cat, dc);
	bool before;

	if (revision.era < cat->era.number)
		return HT_CATALOG_OLDER;
	if (!d)
		return HT_CATALOG_FAILED;
	d->evacuation_listed = true;
	if (ht_revision_before(revision, d->evacuation_revision))
		return HT_CATALOG_OLDER;
	before = d->evacuated;
	d->evacuation_restored = evacuated && is_restored(cat, d, revision);
	note_change(cat, d, revision);
	set_evacuated(cat, d, evacuated && !d->evacuation_restored, now);
	/* An evacuation that may just be missing in the backup must not take the last targets. */
	if (evacuated && !any_target_eligible(cat))
		end_unconfirmed(cat, now);
	return before == evacuated ? HT_CATALOG_SAME : HT_CATALOG_CHANGED;
}

void ht_catalog_begin_evacuations(struct ht_catalog *cat)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &cat->dcs)
		ht_container_of(pos, struct ht_dc, node)->evacuation_listed = false;
}

/* An evacuation that is only known from an earlier era may just not be in the backup. */
static bool awaits_rewrite(const struct ht_catalog *cat, const struct ht_dc *dc)
{
	return dc->evacuation_revision.era < cat->era.number && !cat->era.lapsed;
}

void ht_catalog_end_evacuations(struct ht_catalog *cat, struct ht_revision revision, ht_ms now)
{
	struct ht_list *pos;

	if (revision.era < cat->era.number)
		return;
	ht_list_for_each (pos, &cat->dcs) {
		struct ht_dc *dc = ht_container_of(pos, struct ht_dc, node);

		if (dc->evacuation_listed || (!dc->evacuated && !dc->evacuation_restored) ||
		    awaits_rewrite(cat, dc) ||
		    ht_revision_before(revision, dc->evacuation_revision))
			continue;
		dc->evacuation_restored = false;
		note_change(cat, dc, revision);
		set_evacuated(cat, dc, false, now);
	}
	/* Neighbours compare revisions of one era. */
	if (cat->evacuations.number && cat->evacuations.era < revision.era)
		cat->evacuations = revision;
}

void ht_catalog_settle_evacuations(struct ht_catalog *cat, ht_ms now)
{
	struct ht_list *pos;

	end_unconfirmed(cat, now);
	ht_list_for_each (pos, &cat->dcs) {
		struct ht_dc *dc = ht_container_of(pos, struct ht_dc, node);

		if (dc->evacuation_restored)
			set_evacuated(cat, dc, true, now);
		dc->evacuation_restored = false;
	}
}

void ht_catalog_note_evacuations(struct ht_catalog *cat, struct ht_revision revision)
{
	cat->evacuations = ht_revision_max(cat->evacuations, revision);
}

bool ht_catalog_is_evacuated(const struct ht_catalog *cat)
{
	const struct ht_list *pos;

	/* None of an evacuated data centre is eligible. */
	ht_list_for_each (pos, &cat->dcs) {
		const struct ht_dc *dc = ht_container_of(pos, const struct ht_dc, node);

		if (dc->local)
			return dc->evacuated && any_target_eligible(cat);
	}
	return false;
}

bool ht_catalog_dc_eligible(const struct ht_catalog *cat, const char *dc)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &cat->dcs) {
		const struct ht_dc *d = ht_container_of(pos, const struct ht_dc, node);

		if (strcmp(d->name, dc) == 0)
			return d->eligible;
	}
	return false;
}

bool ht_catalog_is_stranded(const struct ht_catalog *cat, ht_ms now)
{
	const struct ht_list *pos;
	size_t silent = 0;

	ht_list_for_each (pos, &cat->dcs) {
		const struct ht_dc *dc = ht_container_of(pos, const struct ht_dc, node);

		if (!dc->eligible)
			continue;
		if (dc->local || dc->evidence.misses < STRANDED_MISSES ||
		    !ht_evidence_suspected(&dc->evidence, now))
			return false;
		silent++;
	}
	return silent;
}

struct ht_revision ht_catalog_evacuations(const struct ht_catalog *cat)
{
	return cat->evacuations;
}

void ht_catalog_each_evacuated(const struct ht_catalog *cat,
			       void (*visit)(void *ctx, const struct ht_dc *dc), void *ctx)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &cat->dcs) {
		const struct ht_dc *dc = ht_container_of(pos, const struct ht_dc, node);

		if (dc->evacuated)
			visit(ctx, dc);
	}
}
