// Model of a store that is repeatedly restored from older backups, and of instances that read the
// store or fetch snapshots from each other. The properties: the version in force never decreases; a
// target that an instance knew to be removed or draining gets no new flows before it has written a
// new entry; once changes stop, every instance uses exactly the targets that serve.
#include <glib.h>
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
constexpr ht_ms kSilent = 3600; // until the store deletes the entries of silent targets
constexpr ht_ms kLapse = 4800;

struct Entry {
	uint64_t rev;
	int64_t born;
	bool draining;
};

struct Contents {
	uint64_t rev;
	std::map<int, Entry> targets;
	uint64_t version, version_rev;
};

// A target's actual state, whatever the store contains.
struct Target {
	bool up = false, draining = false;
	int64_t born = 0;
	bool must_write = false; // it has to write its entry again
};

struct Store {
	uint64_t era = 1;
	Contents now{10, {}, 1, 10};
	std::vector<Contents> backups;
	Target targets[kTargets];
	uint64_t operator_version = 1;
	bool operator_must_write = false;
	ht_ms restored_at = 0;

	void write(int i)
	{
		backups.push_back(now);
		now.targets[i] = {++now.rev, targets[i].born, targets[i].draining};
		targets[i].must_write = false;
	}
	void erase(int i)
	{
		backups.push_back(now);
		now.rev++;
		now.targets.erase(i);
	}
	void configure()
	{
		backups.push_back(now);
		now.version = operator_version;
		now.version_rev = ++now.rev;
		operator_must_write = false;
	}
	bool serves(int i, int64_t born) const
	{
		return targets[i].up && !targets[i].draining && targets[i].born == born;
	}
	// kSilent after a restore, live targets have reported and the entries of others expire.
	void report_and_expire(ht_ms at)
	{
		for (int i = 0; i < kTargets && at - restored_at >= kSilent; i++) {
			if (targets[i].up && targets[i].must_write)
				write(i);
			else if (!targets[i].up && now.targets.count(i))
				erase(i);
		}
	}
	void restore(size_t lost, ht_ms at)
	{
		restored_at = at;
		lost = std::min(lost, backups.size());
		if (lost) {
			now = backups[backups.size() - lost];
			backups.resize(backups.size() - lost);
		}
		era++;
		for (auto &t : targets)
			t.must_write = true;
		operator_must_write = true;
	}
};

// Every third target has a long name, and every fourth one a service with a long name.
std::string name(int i)
{
	return (i % 3 ? "i-" : std::string(70, 'n') + "-") + std::to_string(1000 + i);
}

const char *service_name(int i)
{
	return i % 4 ? "stock" : g_intern_string(std::string(70, 's').c_str());
}

ht_target_entry entry_of(int i, uint64_t era, const Entry &x)
{
	ht_target_entry e = {};

	e.name = g_intern_string(name(i).c_str());
	e.id = 0x1000 + static_cast<uint64_t>(i);
	e.at = {0x0a000000U + static_cast<uint32_t>(i), 80};
	e.service = service_name(i);
	e.dc = "here";
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
	// Start times of targets that this instance knew to be removed or draining.
	std::map<int, int64_t> unusable;

	Instance() = default;
	Instance(const Instance &) = delete;
	~Instance()
	{
		ht_catalog_free(cat);
	}

	// Begins era @era in the catalogue if it is newer. Returns the time until which entries
	// that are missing in it are held.
	ht_ms begin_era(uint64_t era, ht_ms now)
	{
		if (era > ht_catalog_era(cat))
			ht_catalog_begin_era(cat, era, listed ? known.number : 0, now);
		return known.era < era ? now + kHold : now;
	}

	void list(const Store &s, ht_ms now)
	{
		ht_revision at = {s.era, s.now.rev};

		ht_ms held_until = begin_era(s.era, now);

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
				unusable[i] = t->started;
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
		e.service = "stock";
		table.id = {s.now.version, {s.era, s.now.version_rev}};
		table.count = 1;
		table.entries = &e;
		ht_catalog_set_routes(cat, &table);
	}

	void fetch_snapshot(Instance &source, ht_ms now)
	{
		ht_view_id have = {ht_catalog_routes(cat), listed ? known : ht_revision{0, 0}, {}};
		ht_snapshot *snap;

		if (!source.listed || source.known.era < ht_catalog_era(source.cat))
			return;
		snap = ht_snapshot_new(source.cat, &have, source.known, 0);
		ht_ms held_until = begin_era(source.known.era, now);
		if (ht_snapshot_apply(cat, ht_snapshot_message(snap), have.targets, now, held_until)
			    .targets &&
		    ht_revision_before(known, source.known)) {
			known = source.known;
			listed = true;
			for (auto &[i, at] : source.unusable)
				if (target(i) && target(i)->started == at && !target(i)->eligible)
					unusable[i] = at;
		}
		ht_snapshot_free(snap);
	}

	void check()
	{
		for (auto &[i, at] : unusable)
			RC_ASSERT(!target(i) || target(i)->started != at || !target(i)->eligible);
		RC_ASSERT(ht_catalog_routes(cat).version >= version);
		version = ht_catalog_routes(cat).version;
	}
};

} // namespace

int main()
{
	bool ok = rc::check("a restored store undoes no change that instances know", [] {
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
				// A target registers, drains or deregisters, and writes that to the
				// store.
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
					s.restore(*rc::gen::inRange<size_t>(1, 12), now);
				break;
			case 3:
				// A target or the operator writes again what the restore has lost.
				if (t.up && t.must_write)
					s.write(i);
				if (s.operator_must_write)
					s.configure();
				break;
			case 4:
				a.fetch_snapshot(inst[*rc::gen::inRange(0, 3)], now);
				break;
			case 5:
				// An instance restarts.
				if (*rc::gen::inRange(0, 5) == 0) {
					ht_catalog_free(a.cat);
					a.cat = ht_catalog_new("here");
					a.known = {0, 0};
					a.listed = false;
					a.version = 0;
					a.unusable.clear();
				}
				break;
			default:
				if (*rc::gen::inRange(0, 2))
					a.list(s, now);
			}
			now += *rc::gen::inRange(0, 400);
			s.report_and_expire(now);
			for (auto &x : inst) {
				ht_catalog_expire(x.cat, now, 60000);
				x.check();
			}
		}
		// Changes stop: all live targets write again, and the entries of others expire.
		for (int i = 0; i < kTargets; i++) {
			if (s.targets[i].up)
				s.write(i);
			else if (s.now.targets.count(i))
				s.erase(i);
		}
		s.configure();
		for (auto &x : inst) {
			x.list(s, now);
			// Whether a restored entry belongs to a live target is known only after
			// kLapse.
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
