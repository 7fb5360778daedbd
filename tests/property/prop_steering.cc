// Random packets, store answers in any order, reports of other instances and time steps at one
// instance. Properties from the published documentation: no packet goes to a service that the route
// never led to, an open flow goes only to its own target, a flow that may be open is not reset, an
// older answer does not overwrite newer data, no new flow goes to a target that is draining or
// gone.
#include <glib.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

extern "C" {
#include "base/hash.h"
#include "core/steering.h"
}

namespace
{

constexpr uint32_t kAddress = 0xc6120001;
const char *const kServices[] = {"stock", "docs"};
const char *const kDcs[] = {"here", "there"};

struct World {
	ht_catalog *cat = ht_catalog_new("here");
	ht_reports reports = {};
	ht_steering_params params;
	ht_steering *st;
	ht_ms now = 1000;
	uint64_t revision = 10;
	uint64_t version = 0;
	std::map<int, uint64_t> newest; // revision of the newest answer given, by target
	uint64_t evacuation_revision = 0;
	bool evacuated[2] = {};
	std::map<int, bool> usable; // takes new flows according to the newest answer
	// Services that each port has ever led to.
	std::map<uint16_t, std::set<std::string>> port_services;

	World()
	{
		ht_steering_params_default(&params);
		params.catalog = cat;
		params.reports = &reports;
		params.flows_max = 64;
		st = ht_steering_new(&params);
	}
	~World()
	{
		ht_steering_free(st);
		ht_catalog_free(cat);
	}

	static std::string name(int i)
	{
		return "i-" + std::to_string(1000 + i);
	}

	void put(int i, uint64_t rev, bool draining)
	{
		ht_target_entry e = {};

		e.name = g_intern_string(name(i).c_str());
		e.id = 0x1000 + static_cast<uint64_t>(i);
		e.at = {0x0a000000U + static_cast<uint32_t>(i), 80};
		// A target never changes its service.
		e.service = kServices[i % 2];
		e.dc = kDcs[i % 3 == 0];
		e.slots = 3;
		e.draining = draining;
		e.started = 1000 + i;
		e.revision = {0, rev};
		ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
		if (rev >= newest[i]) {
			newest[i] = rev;
			usable[i] = !draining;
		}
	}

	void remove(int i, uint64_t rev)
	{
		if (newest.count(i) == 0)
			return;
		ht_catalog_remove_target(cat, name(i).c_str(), {0, rev}, now, now);
		if (rev >= newest[i]) {
			newest[i] = rev;
			usable[i] = false;
		}
	}

	void evacuate(int dc, bool on)
	{
		ht_catalog_put_evacuation(cat, kDcs[dc], on, {0, ++evacuation_revision}, now);
		evacuated[dc] = on;
	}

	void routes(uint64_t v, bool swapped)
	{
		ht_route_entry e[2] = {};
		ht_share_entry shares[2] = {};
		ht_route_table table = {};

		for (uint16_t k = 0; k < 2; k++) {
			e[k].at = {kAddress, static_cast<uint16_t>(100 + k)};
			e[k].service = kServices[swapped ? 1 - k : k];
		}
		// Every third version splits the first route between both services.
		if (v % 3 == 0) {
			for (uint32_t k = 0; k < 2; k++) {
				shares[k].service = kServices[k];
				shares[k].weight = static_cast<uint32_t>(v) % 5 * k + 1 - k;
				if (v > ht_catalog_routes(cat).version)
					port_services[100].insert(kServices[k]);
			}
			e[0].share_count = 2;
			table.shares = shares;
			table.share_count = 2;
		}
		table.id = {v, {0, v}};
		table.count = 2;
		table.entries = e;
		if (v > ht_catalog_routes(cat).version)
			for (auto &x : e)
				port_services[x.at.port].insert(x.service);
		ht_catalog_set_routes(cat, &table);
		version = std::max(version, v);
	}
};

int index_of(const ht_target *t)
{
	return static_cast<int>(t->id - 0x1000);
}

void check_forward(World &w, const ht_packet &pkt, const ht_steering_decision &d)
{
	RC_ASSERT(d.target != nullptr);
	RC_ASSERT(d.mark != 0U);
	RC_ASSERT(w.port_services[pkt.dst.port].count(d.target->service->name) == 1U);
	RC_ASSERT(ht_catalog_by_mark(w.cat, d.mark) == d.target);
	if (!pkt.opens)
		RC_ASSERT(d.mark == pkt.mark);
	// A copy sent to the target of its open flow is no new flow.
	if (pkt.opens && d.reason != HT_STEER_MARKED) {
		RC_ASSERT(w.usable[index_of(d.target)]);
		RC_ASSERT(!w.evacuated[index_of(d.target) % 3 == 0]);
	}
}

void packet(World &w)
{
	ht_packet pkt = {};
	bool known = *rc::gen::arbitrary<bool>();
	int i = *rc::gen::inRange(0, 12);
	ht_target *t = ht_catalog_by_name(w.cat, World::name(i).c_str());

	pkt.src = {0x64400001, *rc::gen::inRange<uint16_t>(1, 30)};
	pkt.dst = {kAddress, *rc::gen::inRange<uint16_t>(100, 103)};
	pkt.opens = *rc::gen::arbitrary<bool>();
	pkt.closes = !pkt.opens && *rc::gen::inRange(0, 4) == 0;
	pkt.acknowledged = pkt.opens ? *rc::gen::inRange<uint32_t>(0, 3)
				     : *rc::gen::inRange<uint32_t>(0, 2000);
	pkt.length = pkt.opens ? 0 : *rc::gen::inRange<uint16_t>(0, 3);
	if (!pkt.opens)
		pkt.mark = known && t ? t->marks[0].value : *rc::gen::arbitrary<uint32_t>();

	auto d = ht_steering_packet(w.st, &pkt, w.now);
	if (d.action == HT_STEER_FORWARD)
		check_forward(w, pkt, d);
	// An open flow is reset only if its target is gone or its route is idempotent.
	if (d.action == HT_STEER_RESET && !pkt.opens) {
		const ht_route *r = ht_catalog_route(w.cat, pkt.dst);

		RC_ASSERT(d.reason == HT_STEER_DEAD_TARGET);
		RC_ASSERT(pkt.length > 0);
		RC_ASSERT(d.target->gone_at != HT_NEVER || r->idempotent);
	}
}

void step(World &w)
{
	int i = *rc::gen::inRange(0, 12);
	// Some answers are older than the newest one, or repeat it.
	uint64_t rev = *rc::gen::inRange(0, 3) ? ++w.revision
					       : *rc::gen::inRange<uint64_t>(1, w.revision + 1);

	switch (*rc::gen::inRange(0, 10)) {
	case 0:
	case 1:
	case 2:
		// A revision of a target always carries the same change.
		switch (ht_hash_pair(rev, static_cast<uint64_t>(i)) % 3) {
		case 0:
			w.put(i, rev, false);
			break;
		case 1:
			w.put(i, rev, true);
			break;
		default:
			w.remove(i, rev);
		}
		break;
	case 3:
		w.routes(*rc::gen::inRange<uint64_t>(1, w.version + 3),
			 *rc::gen::inRange(0, 4) == 0);
		break;
	case 4:
		w.now += *rc::gen::inRange(1, 900);
		ht_steering_expire(w.st, w.now);
		ht_catalog_expire(w.cat, w.now, 60000);
		break;
	case 5: {
		ht_target *t = ht_catalog_by_name(w.cat, World::name(i).c_str());
		ht_report report = {t ? t->marks[0].value : 1, 1, 1};

		ht_steering_apply_report(w.st, &report, w.now);
		break;
	}
	case 6:
		w.evacuate(*rc::gen::inRange(0, 2), *rc::gen::inRange(0, 2) == 0);
		break;
	default:
		packet(w);
	}
	RC_ASSERT(ht_catalog_routes(w.cat).version == w.version);
}

} // namespace

int main()
{
	bool ok = rc::check("decisions keep the rules for any input in any order", [] {
		World w;
		int steps = *rc::gen::inRange(50, 400);

		ht_steering_set_view_complete(w.st, *rc::gen::arbitrary<bool>());
		for (int i = 0; i < steps; i++)
			step(w);
	});

	ok &= rc::check("the count of open flows returns to zero when all flows expire", [] {
		World w;

		w.routes(1, false);
		for (int i = 0; i < 6; i++)
			w.put(i, ++w.revision, false);
		for (int i = *rc::gen::inRange(1, 200); i > 0; i--)
			packet(w);
		// Idle flows expire within this time.
		w.now += w.params.idle_expiry;
		ht_steering_expire(w.st, w.now);
		ht_catalog_each_target(
			w.cat, [](void *, ht_target *t) { RC_ASSERT(t->open == 0U); }, nullptr);
		RC_ASSERT(ht_steering_flow_count(w.st) == 0U);
	});
	return ok ? 0 : 1;
}
