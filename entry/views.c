/* Snapshots exchanged between instances: serves them to instances that ask and applies those
 * fetched from others. */
#include "entry/decisions.h"
#include "entry/link_internal.h"
#include "entry/snapshot.h"
#include "entry/transfer.h"
#include "wire/frame.h"

static enum ht_link_message snapshot_kind(const Ht__EntrySnapshot *msg)
{
	return msg->base_revision ? HT_LINK_DIFF_SNAPSHOT : HT_LINK_FULL_SNAPSHOT;
}

bool ht_link_write_snapshot(void *ctx, const Ht__EntrySnapshotRequest *request,
			    struct ht_buffer *out)
{
	struct ht_link *link = ctx;
	struct ht_view_id have = ht_snapshot_requested(request);
	struct ht_view_state view = ht_link_view(link);
	struct ht_err err = {.text = "out of memory"};
	struct ht_snapshot *snap;
	bool ok;

	if (!view.usable || !ht_snapshot_readable(request))
		return false;
	snap = ht_snapshot_new(link->params.catalog, &have, view.targets, ht_now());
	if (snap) {
		ht_snapshot_message(snap)->reading_level = view.level;
		ht_snapshot_message(snap)->clock = ht_logger_stamp(link->params.log);
	}
	ok = snap && ht_frame_put(out, &ht_snapshot_message(snap)->base, &err);
	if (ok)
		ht_message_count(
			&link->params.stats->sent[snapshot_kind(ht_snapshot_message(snap))],
			ht_buffer_len(out));
	else
		ht_logger_event(link->params.log, HT_EV_SNAPSHOT_FAILED, "reason=\"%s\"", err.text);
	ht_snapshot_free(snap);
	return ok;
}

size_t ht_link_apply(struct ht_link *link, const Ht__EntrySnapshot *msg)
{
	uint64_t era = msg->routes_era > msg->era ? msg->routes_era : msg->era;
	struct ht_feed *feed = ht_link_feed(link);
	struct ht_snapshot_result result;

	/* A snapshot of a later era is ignored until an exact read has proven that era. */
	if (!ht_feed_observe_era(feed, era, false) && era > ht_link_view(link).era)
		return 0;
	result = ht_snapshot_apply(link->params.catalog, msg, ht_link_view(link).targets, ht_now(),
				   ht_feed_hold_until(feed));
	if (result.malformed)
		ht_logger_event(link->params.log, HT_EV_SNAPSHOT_FAILED, "reason=malformed");
	if (result.routes)
		ht_feed_adopt_routes(feed, ht_snapshot_view(msg).routes.revision,
				     msg->reading_level);
	if (result.evacuations)
		ht_feed_adopt_evacuations(feed, ht_snapshot_view(msg).evacuations,
					  msg->reading_level);
	if (result.targets)
		ht_feed_adopt_targets(feed, ht_snapshot_view(msg).targets, msg->reading_level,
				      result.missing);
	return result.changed;
}

bool ht_link_accepts(struct ht_link *link, uint32_t level)
{
	struct ht_view_state own = ht_link_view(link);

	return ht_neighbours_accepts(link->neighbours, &own, level);
}

void ht_link_on_snapshot(void *ctx, struct ht_endpoint source, const Ht__EntrySnapshot *msg,
			 size_t bytes, const char *error)
{
	struct ht_link *link = ctx;
	char from[HT_ENDPOINT_TEXT], targets[HT_REVISION_TEXT], base[HT_REVISION_TEXT];
	size_t changed;

	ht_endpoint_text(from, source);
	if (!msg) {
		ht_logger_event(link->params.log, HT_EV_SNAPSHOT_FAILED, "giver=%s reason=\"%s\"",
				from, error);
		return;
	}
	ht_message_count(&link->params.stats->received[snapshot_kind(msg)], bytes);
	ht_logger_merge_stamp(link->params.log, msg->clock);
	if (!ht_link_accepts(link, msg->reading_level)) {
		ht_logger_event(link->params.log, HT_EV_SNAPSHOT_FAILED,
				"giver=%s reason=\"read by an earlier build\"", from);
		return;
	}
	changed = ht_link_apply(link, msg);
	ht_logger_event(link->params.log, HT_EV_SNAPSHOT_APPLIED,
			"giver=%s bytes=%zu version=%llu targets_revision=%s base=%s "
			"routes=%zu targets=%zu gone=%zu changed=%zu",
			from, bytes, (unsigned long long)msg->routes_version,
			ht_revision_text(targets, ht_snapshot_view(msg).targets),
			ht_revision_text(base, ht_snapshot_base(msg).targets), msg->n_routes,
			msg->n_targets, msg->n_gone, changed);
	ht_link_relay_if_known(link);
	link->params.changed(link->params.ctx);
}

void ht_link_fetch(struct ht_link *link, struct ht_endpoint source)
{
	struct ht_view_state view = ht_link_view(link);
	struct ht_view_id have = {.routes = view.routes};
	Ht__EntrySnapshotRequest request;

	if (view.usable)
		have.targets = view.targets;
	ht_snapshot_request(&request, &have);
	if (ht_transfer_fetch(link->transfer, source, &request))
		ht_message_count(&link->params.stats->sent[HT_LINK_SNAPSHOT_REQUEST],
				 ht__entry_snapshot_request__get_packed_size(&request));
}

void ht_link_refresh(struct ht_link *link)
{
	struct ht_view_state view = ht_link_view(link);
	const struct ht_neighbour *source =
		ht_neighbours_snapshot_source(link->neighbours, &view, ht_now());

	if (source)
		ht_link_fetch(link, source->at);
}
