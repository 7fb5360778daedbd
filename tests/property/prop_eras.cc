// A store that comes back from older copies again and again, and instances that read it or each
// other. The properties: the version in force never falls; a target that an instance knew to have
// left, or to drain, gets no new flow before it has written again; once the store is calm, every
// instance uses just the targets that serve.
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "entry/snapshot.h"
}

namespace
{

constexpr int kTargets = 8;
constexpr ht_ms kHold = 2500;
constexpr ht_ms kSilent = 3600; // until entries of silent targets lapse
constexpr ht_ms kLapse = 4800;

struct Entry {
	uint64_t rev;
	int64_t born;
	bool draining;
};

struct Copy {
	uint64_t rev;
	std::map<int, Entry> targets;
	uint64_t version, version_rev;
};

// What a target does itself, whatever the store knows of it.
struct Target {
	bool up = false, draining = false;
	int64_t born = 0;
	bool dirty = false; // it has to write again
};

struct Store {
	uint64_t era = 1;
	Copy now{10, {}, 1, 10};
	std::vector<Copy> past;
	Target targets[kTargets];
	uint64_t operator_version = 1;
	bool operator_dirty = false;
	ht_ms returned_at = 0;

	void write(int i)
	{
		past.push_back(now);
		now.targets[i] = {++now.rev, targets[i].born, targets[i].draining};
		targets[i].dirty = false;
	}
	void erase(int i)
	{
		past.push_back(now);
		now.rev++;
		now.targets.erase(i);
	}
	void configure()
	{
		past.push_back(now);
		now.version = operator_version;
		now.version_rev = ++now.rev;
		operator_dirty = false;
	}
	bool serves(int i, int64_t born) const
	{
		return targets[i].up && !targets[i].draining && targets[i].born == born;
	}
	// Live targets have reported by now, and the entries of others lapse.
	void settle(ht_ms at)
	{
		for (int i = 0; i < kTargets && at - returned_at >= kSilent; i++) {
			if (targets[i].up && targets[i].dirty)
				write(i);
			else if (!targets[i].up && now.targets.count(i))
				erase(i);
		}
	}
	void come_back(size_t lost, ht_ms at)
	{
		returned_at = at;
		lost = std::min(lost, past.size());
		if (lost) {
			now = past[past.size() - lost];
			past.resize(past.size() - lost);
		}
		era++;
		for (auto &t : targets)
			t.dirty = true;
		operator_dirty = true;
	}
};

std::string name(int i)
{
	return "i-" + std::to_string(1000 + i);
}

ht_target_entry entry_of(int i, uint64_t era, const Entry &x)
{
	ht_target_entry e = {};

	snprintf(e.name, sizeof(e.name), "%s", name(i).c_str());
	e.id = 0x1000 + static_cast<uint64_t>(i);
	e.at = {0x0a000000U + static_cast<uint32_t>(i), 80};
	snprintf(e.service, sizeof(e.service), "stock");
	snprintf(e.dc, sizeof(e.dc), "here");
	e.slots = 3;
	e.draining = x.draining;
	e.started = x.born;
	e.revision = {era, x.rev};
	return e;
}

struct Instance {
	ht_catalog *cat = ht_catalog_new("here");
	ht_revision known = {0, 0};
	bool listed = false;
	uint64_t version = 0;
	// Lifetimes that had left, or drained, and were known to.
	std::map<int, int64_t> left;

	Instance() = default;
	Instance(const Instance &) = delete;
	~Instance()
	{
		ht_catalog_free(cat);
	}

	// Returns until when a missing entry is held.
	ht_ms enter(uint64_t era, ht_ms now)
	{
		if (era > ht_catalog_era(cat))
			ht_catalog_begin_era(cat, era, listed ? known.number : 0, now);
		return known.era < era ? now + kHold : now;
	}

	void list(const Store &s, ht_ms now)
	{
		ht_revision at = {s.era, s.now.rev};

		ht_ms held_until = enter(s.era, now);

		ht_catalog_note_era_revision(cat, at);
		ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
		for (auto &[i, x] : s.now.targets) {
			ht_target_entry e = entry_of(i, s.era, x);

			ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
		}
		ht_catalog_end_listing(cat, HT_CATALOG_STORE, at, now, held_until);
		routes(s);
		known = at;
		listed = true;
		ht_catalog_readmit_restored(cat, now, kLapse, now);
		for (int i = 0; i < kTargets; i++) {
			const ht_target *t = target(i);

			if (t && !t->eligible && !s.serves(i, t->started))
				left[i] = t->started;
		}
	}

	const ht_target *target(int i) const
	{
		return ht_catalog_by_name(cat, name(i).c_str());
	}

	void routes(const Store &s)
	{
		ht_route_entry e = {};
		ht_route_table table = {};

		e.at = {1, static_cast<uint16_t>(s.now.version)};
		snprintf(e.service, sizeof(e.service), "stock");
		table.id = {s.now.version, {s.era, s.now.version_rev}};
		table.count = 1;
		table.entries = &e;
		ht_catalog_set_routes(cat, &table);
	}

	void take(Instance &giver, ht_ms now)
	{
		ht_view_id have = {ht_catalog_routes(cat), listed ? known : ht_revision{0, 0}};
		ht_snapshot *snap;

		if (!giver.listed || giver.known.era < ht_catalog_era(giver.cat))
			return;
		snap = ht_snapshot_new(giver.cat, &have, giver.known, 0);
		ht_ms held_until = enter(giver.known.era, now);
		if (ht_snapshot_apply(cat, ht_snapshot_message(snap), have.targets, now, held_until)
			    .targets &&
		    ht_revision_before(known, giver.known)) {
			known = giver.known;
			listed = true;
			for (auto &[i, at] : giver.left)
				if (target(i) && target(i)->started == at && !target(i)->eligible)
					left[i] = at;
		}
		ht_snapshot_free(snap);
	}

	void check()
	{
		for (auto &[i, at] : left)
			RC_ASSERT(!target(i) || target(i)->started != at || !target(i)->eligible);
		RC_ASSERT(ht_catalog_routes(cat).version >= version);
		version = ht_catalog_routes(cat).version;
	}
};

} // namespace

int main()
{
	bool ok = rc::check("nothing is taken back by a store that comes back", [] {
		Store s;
		Instance inst[3];
		ht_ms now = 1000;
		int64_t born = 1;

		for (int step = *rc::gen::inRange(20, 300); step > 0; step--) {
			int i = *rc::gen::inRange(0, kTargets);
			Instance &a = inst[*rc::gen::inRange(0, 3)];
			Target &t = s.targets[i];

			switch (*rc::gen::inRange(0, 10)) {
			case 0:
				// A target comes, drains, or leaves, and says so.
				if (!t.up)
					t = {true, false, born++, false};
				else if (!t.draining)
					t.draining = true;
				else
					t.up = false;
				if (t.up)
					s.write(i);
				else if (s.now.targets.count(i))
					s.erase(i);
				break;
			case 1:
				s.operator_version += *rc::gen::inRange(1, 4);
				s.configure();
				break;
			case 2:
				if (*rc::gen::inRange(0, 4) == 0)
					s.come_back(*rc::gen::inRange<size_t>(1, 12), now);
				break;
			case 3:
				// What was written is written again.
				if (t.up && t.dirty)
					s.write(i);
				if (s.operator_dirty)
					s.configure();
				break;
			case 4:
				a.take(inst[*rc::gen::inRange(0, 3)], now);
				break;
			case 5:
				// A process starts again.
				if (*rc::gen::inRange(0, 5) == 0) {
					ht_catalog_free(a.cat);
					a.cat = ht_catalog_new("here");
					a.known = {0, 0};
					a.listed = false;
					a.version = 0;
					a.left.clear();
				}
				break;
			default:
				if (*rc::gen::inRange(0, 2))
					a.list(s, now);
			}
			now += *rc::gen::inRange(0, 400);
			s.settle(now);
			for (auto &x : inst) {
				ht_catalog_expire(x.cat, now, 60000);
				x.check();
			}
		}
		// Calm: everything is written again, and what nobody writes lapses.
		for (int i = 0; i < kTargets; i++) {
			if (s.targets[i].up)
				s.write(i);
			else if (s.now.targets.count(i))
				s.erase(i);
		}
		s.configure();
		for (auto &x : inst) {
			x.list(s, now);
			// What an instance cannot tell from the copy's is clear after a lapse.
			x.list(s, now + kLapse);
			ht_catalog_expire(x.cat, now + kLapse + kHold, 60000);
			for (int i = 0; i < kTargets; i++) {
				const ht_target *t = x.target(i);
				bool serves = s.targets[i].up && !s.targets[i].draining;

				RC_ASSERT((t && t->eligible) == serves);
			}
			RC_ASSERT(ht_catalog_routes(x.cat).version == s.operator_version);
		}
	});

	return ok ? 0 : 1;
}
