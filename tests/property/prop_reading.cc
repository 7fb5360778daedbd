// A listing of targets whose pages are of different ages, then watches, against a model of the
// store. The properties: after the first watch the catalogue holds exactly what the store holds,
// and a target whose drain or removal was known is not used again.
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/catalog.h"
#include "core/reading.h"
}

namespace
{

constexpr int kTargets = 9;
constexpr size_t kPage = 3;
constexpr int kBehindMax = 12; // changes that a copy may lack

struct Object {
	uint64_t rev;
	int64_t born;
	bool draining;
};

using Objects = std::map<std::string, Object>;

struct Event {
	std::string name;
	Object object;
	bool deleted;
};

struct Store {
	std::vector<Objects> states{{}}; // after each change; the index is the revision
	std::vector<Event> events;

	uint64_t rev() const
	{
		return states.size() - 1;
	}
	void change(int i)
	{
		std::string name = "i-" + std::to_string(1000 + i);
		Objects next = states.back();
		auto old = next.find(name);
		Object o = {rev() + 1, static_cast<int64_t>(rev()) + 1, false};
		bool deleted = old != next.end() && old->second.draining;

		if (old != next.end())
			o = {o.rev, old->second.born, true};
		if (deleted)
			next.erase(name);
		else
			next[name] = o;
		states.push_back(next);
		events.push_back({name, o, deleted});
	}
};

struct Instance {
	ht_catalog *cat = ht_catalog_new("here");
	ht_reading reading = {};
	std::map<std::string, int64_t> unusable; // start times of targets known to drain

	Instance()
	{
		ht_reading_params params = {};

		params.pause = 700;
		params.wait = 1500;
		ht_reading_init(&reading, &params, 0);
	}
	Instance(const Instance &) = delete;
	~Instance()
	{
		ht_reading_clear(&reading);
		ht_catalog_free(cat);
	}

	void put(const std::string &name, const Object &o, ht_ms now)
	{
		ht_target_entry e = {};

		e.name = name.c_str();
		e.id = std::stoull(name.substr(2));
		e.at = {0x0a000001U, static_cast<uint16_t>(e.id)};
		e.service = "stock";
		e.dc = "here";
		e.slots = 3;
		e.draining = o.draining;
		e.started = o.born;
		e.revision = {0, o.rev};
		ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
		if (o.draining)
			unusable[name] = o.born;
	}

	void page(const Store &s, const ht_reading_call &call, uint64_t rev, ht_ms now)
	{
		auto pos = s.states[rev].upper_bound(call.after), first = pos;
		bool first_page = reading.first_page;
		std::string last;
		size_t n = 0;

		for (; pos != s.states[rev].end() && n < kPage; ++pos, n++)
			last = pos->first;
		if (!ht_reading_usable(ht_reading_page(
			    &reading, {0, rev}, pos != s.states[rev].end(), last.c_str(), now)))
			return;
		if (first_page)
			ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
		for (; first != pos; ++first)
			put(first->first, first->second, now);
		if (!reading.listing)
			ht_catalog_end_listing(cat, HT_CATALOG_STORE, reading.list_revision, now,
					       now);
	}

	void watch(const Store &s, uint64_t since, ht_ms now)
	{
		for (uint64_t i = since; i < s.rev(); i++) {
			const Event &e = s.events[i];

			if (e.deleted)
				ht_catalog_remove_target(cat, e.name.c_str(), {0, i + 1}, now, now);
			else
				put(e.name, e.object, now);
		}
		ht_reading_changes(&reading, {0, s.rev()}, since < s.rev(), now);
	}

	bool in_use(const std::string &name) const
	{
		const ht_target *t = ht_catalog_by_name(cat, name.c_str());

		return t && t->eligible;
	}
};

} // namespace

int main()
{
	bool ok = rc::check("pages of different ages lose no change", [] {
		Store s;
		Instance a;
		ht_ms now = 0, due;
		int watches = 0;

		for (int n = *rc::gen::inRange(1, 40); n > 0; n--)
			s.change(*rc::gen::inRange(0, kTargets));
		while (watches < 3) {
			ht_reading_call call;

			if (!ht_reading_next(&a.reading, now, &call, &due)) {
				now = due;
				continue;
			}
			for (int n = *rc::gen::inRange(0, 4); n > 0; n--)
				s.change(*rc::gen::inRange(0, kTargets));
			if (!call.watch) {
				auto behind = static_cast<uint64_t>(
					call.stale_ok ? *rc::gen::inRange(0, kBehindMax) : 0);

				a.page(s, call, s.rev() - std::min(behind, s.rev()), ++now);
				continue;
			}
			a.watch(s, call.since, ++now);
			watches++;
			for (int i = 0; i < kTargets; i++) {
				std::string name = "i-" + std::to_string(1000 + i);
				auto o = s.states.back().find(name);

				RC_ASSERT(a.in_use(name) ==
					  (o != s.states.back().end() && !o->second.draining));
			}
			for (auto &[name, born] : a.unusable) {
				const ht_target *t = ht_catalog_by_name(a.cat, name.c_str());

				RC_ASSERT(!t || t->started != born || !t->eligible);
			}
		}
	});

	return ok ? 0 : 1;
}
