#include "tests/property/world.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <ostream>

extern "C" {
#include "base/hash.h"
}

namespace
{
const unsigned kFlows = 6;
const unsigned kTargets = 6; // 0 to 3 serve almacen, 4 and 5 taller
const unsigned kSlots = 2;
const uint64_t kDeadline = 3000;
const char *const kNames[] = {
	"Get",		 "Post",     "Repeat",	     "Kill",	   "Vanish",	 "Restart",
	"Stop",		 "Cut",	     "CutOneWay",    "Heal",	   "Loss",	 "Late",
	"Change",	 "Restore",  "PlatformDown", "PlatformUp", "TargetDown", "TargetLosing",
	"TargetRefuses", "TargetUp", "Wait"};
} // namespace

std::ostream &operator<<(std::ostream &os, const Command &c)
{
	return os << kNames[static_cast<int>(c.kind)] << "(" << c.a << "," << c.b << ") +" << c.ms
		  << "ms";
}

World::World(unsigned nodes, unsigned dcs, uint64_t seed) : s_(sim_new(seed))
{
	s_->hooks.ctx = this;
	s_->hooks.answered = on_answer;
	s_->hooks.started = on_start;
	for (unsigned i = 0; i < nodes; i++) {
		std::string dc = "dc" + std::to_string(i % dcs);

		sim_add(s_, ("n" + std::to_string(i)).c_str(), dc.c_str(), i % 2 ? 1 : 2);
	}
	sim_apply(s_, version_, rules(0).c_str());
	sim_publish(s_);
	for (unsigned i = 0; i < nodes; i++)
		sim_start(s_, static_cast<int>(i));
	sim_run(s_, s_->now + 8000);
}

World::~World()
{
	sim_free(s_);
}

static bool drains(unsigned variant, unsigned target)
{
	unsigned first = variant / 32 % 8;

	if (!first)
		return false;
	if (variant / 256 % 2 == 0)
		return target == first - 1;
	return target / 4 == (first - 1) / 4 && target % 4 != (first - 1) % 4;
}

// Targets keep their service; the variant selects weights, a missing target, and a draining one or
// three of one service, which may be all candidates of a flow.
std::string World::rules(unsigned variant) const
{
	std::string text;
	unsigned dcs = 1;

	for (int i = 0; i < s_->node_count; i++)
		if (std::strcmp(s_->nodes[i].dc, "dc1") == 0)
			dcs = 2;
	for (int k = 0; k < 2; k++)
		text += std::string("service ") + (k ? "taller" : "almacen") +
			" region r address 127.1.0." + std::to_string(k + 1) + ":5683 deadline " +
			std::to_string(kDeadline) + " affinity " +
			(variant & 1 ? "request" : "flow") + "  # property\n";
	for (unsigned t = 0; t < kTargets; t++) {
		std::string service = t < 4 ? "almacen" : "taller";
		std::string name = "t" + std::to_string(t);

		if (variant / 4 % 8 == t + 1 && t != 4)
			continue;
		text += "target " + service + " " + name + " dc dc" + std::to_string(t % dcs) +
			" address 127.2.0." + std::to_string(t + 1) + ":5700 slots " +
			std::to_string(kSlots) + " weight " + (variant & 2 && t % 2 ? "3" : "1") +
			"  # property\n";
		if (drains(variant, t))
			text += "drain " + service + " " + name + "  # property\n";
	}
	return text;
}

void World::fault(const std::string &guarantee, const std::string &text)
{
	faults_.emplace(guarantee, text + " at " + std::to_string(s_->now - 1000000) + " ms");
}

static bool final_answer(const ht_answer *a)
{
	return !(a->code == HT_UNAUTHORIZED && a->has_ticket);
}

void World::on_answer(void *ctx, sim_node *n, uint64_t handle, const ht_answer *a)
{
	World *w = static_cast<World *>(ctx);
	Handle &h = w->handles_[handle];
	Request &r = w->requests_[h.request];
	std::string what = "request " + std::to_string(h.request) + ", code " +
			   std::to_string(a->code / 32) + "." + std::to_string(a->code % 32);

	w->answered_++;
	if (++h.answers > 1 || n->incarnation != h.incarnation)
		w->fault("one-answer", what + " answered more than once");
	if (a->verdict == HT_NOT_RUN && (!r.posting || h.ticket))
		w->record_not_run(r, h, what);
	// A new ticket is accepted only in an answer to a copy with the current ticket.
	if (final_answer(a)) {
		r.done = true;
	} else if (!r.done && h.ticket == r.tickets) {
		r.tickets++;
		r.ticket.assign(a->ticket, a->ticket + HT_TICKET_LEN);
	}
}

void World::record_not_run(Request &r, const Handle &h, const std::string &what)
{
	(r.posting || r.copies == 1 ? r.not_run : r.repeat_not_run)[h.ticket] = what;
}

ht_ms World::on_start(void *ctx, sim_node *n, struct sim_target *t, const ht_target_request *req)
{
	World *w = static_cast<World *>(ctx);
	size_t id = std::strtoul(std::strchr(req->query, '=') + 1, nullptr, 10);
	size_t ticket = std::strtoul(std::strrchr(req->query, '=') + 1, nullptr, 10);
	Request &r = w->requests_[id];
	// Isolated instances may use one slot each, so a network fault raises the limit.
	unsigned bound = kSlots + (w->cut_ ? static_cast<unsigned>(w->s_->node_count) : 0);

	w->started_++;
	r.starts.resize(std::max(r.starts.size(), ticket + 1));
	r.starts[ticket]++;
	r.starters.emplace_back(n->index, n->incarnation);
	if (r.posting && r.starters.size() > 1)
		w->fault("at-most-once", "posting " + std::to_string(id) + " started " +
						 std::to_string(r.starters.size()) +
						 " times, now by " + n->name);
	if (r.service != t->service || r.service != req->service_name)
		w->fault("no-cross-service",
			 "request " + std::to_string(id) + " for " + r.service + " at " + t->name);
	if (t->in_flight > bound)
		w->fault("slots", std::string(t->name) + " runs " + std::to_string(t->in_flight) +
					  " requests, now from " + n->name);
	return static_cast<ht_ms>(5 + sim_random(w->s_) % 300);
}

int World::running(unsigned n) const
{
	for (int i = 0; i < s_->node_count; i++) {
		int k = static_cast<int>((n + static_cast<unsigned>(i)) %
					 static_cast<unsigned>(s_->node_count));

		if (s_->nodes[k].core && !s_->nodes[k].stopped)
			return k;
	}
	return -1;
}

void World::send(size_t id, int node)
{
	Request &r = requests_[id];
	std::string query = "id=" + std::to_string(id) + "&ticket=" + std::to_string(r.tickets);
	uint32_t token = static_cast<uint32_t>(id) + 1;
	ht_request req = {};

	if (node < 0)
		return;
	r.copies++;
	req.service = ht_hash_str(r.service.c_str());
	req.flow = ht_hash_pair(r.flow, req.service);
	req.token_len = sizeof(token);
	std::memcpy(req.token, &token, sizeof(token));
	req.method = r.posting ? HT_POST : HT_GET;
	req.path = "x";
	req.query = query.c_str();
	req.has_ticket = r.tickets > 0;
	if (req.has_ticket)
		std::memcpy(req.ticket, r.ticket.data(), HT_TICKET_LEN);
	handles_.push_back({id, node, s_->nodes[node].incarnation, 0, r.tickets});
	sim_request(s_, node, handles_.size() - 1, &req);
}

// Sends a copy of the @a-th newest open request; a posting carries its ticket once it has one.
void World::repeat(unsigned a, unsigned b)
{
	std::vector<size_t> open;

	for (size_t i = requests_.size(); i-- > 0 && open.size() < 4;)
		if (!requests_[i].done)
			open.push_back(i);
	if (!open.empty())
		send(open[a % open.size()], running(b));
}

void World::request(const Command &c)
{
	Request r;

	if (c.kind == Kind::Repeat) {
		repeat(c.a, c.b);
		return;
	}
	r.flow = c.a % kFlows;
	r.service = c.a / kFlows % 3 == 2 ? "taller" : "almacen";
	r.posting = c.kind == Kind::Post;
	requests_.push_back(r);
	send(requests_.size() - 1, running(c.b));
}

void World::restart(int node)
{
	if (s_->nodes[node].core)
		return;
	sim_start(s_, node);
}

void World::instance(const Command &c)
{
	int node = static_cast<int>(c.a % static_cast<unsigned>(s_->node_count));
	sim_node *n = &s_->nodes[node];

	if (c.kind == Kind::Restart) {
		restart(node);
	} else if (c.kind == Kind::Stop) {
		if (n->core && !n->stopped) {
			ht_core_advance(n->core, s_->now);
			ht_core_stop(n->core);
		}
	} else {
		sim_kill(s_, node, c.kind == Kind::Kill);
	}
}

void World::heal()
{
	std::memset(s_->cut, 0, sizeof(s_->cut));
	s_->loss = 0;
	s_->jitter = 0;
}

void World::network(const Command &c)
{
	unsigned count = static_cast<unsigned>(s_->node_count);
	unsigned a = c.a % count, b = c.b % count;

	cut_ = true;
	if (c.kind == Kind::Heal) {
		heal();
	} else if (c.kind == Kind::Loss) {
		s_->loss = 0.05 * (c.a % 5);
	} else if (c.kind == Kind::Late) {
		s_->jitter = c.a % 5 * 100;
	} else if (a != b) {
		s_->cut[a][b] = true;
		if (c.kind == Kind::Cut)
			s_->cut[b][a] = true;
	}
}

void World::platform(const Command &c)
{
	if (c.kind == Kind::Change) {
		sim_apply(s_, ++version_, rules(c.a * 7 + c.b).c_str());
	} else if (c.kind == Kind::Restore) {
		sim_apply(s_, 1, rules(0).c_str());
	} else {
		s_->platform_down = c.kind == Kind::PlatformDown;
	}
}

void World::target(const Command &c)
{
	struct sim_target *t =
		sim_target_by_name(s_, ("t" + std::to_string(c.a % kTargets)).c_str());

	if (t)
		sim_target_mode(s_, t,
				c.kind == Kind::TargetDown	? SIM_TARGET_DOWN
				: c.kind == Kind::TargetLosing	? SIM_TARGET_LOSING
				: c.kind == Kind::TargetRefuses ? SIM_TARGET_REFUSING
								: SIM_TARGET_UP);
}

void World::observe()
{
	for (int i = 0; i < s_->node_count; i++) {
		const sim_node *n = &s_->nodes[i];
		const ht_config *cfg = n->core ? ht_core_config(n->core) : nullptr;
		uint64_t &highest = versions_[n->incarnation];

		if (!n->core)
			continue;
		if ((cfg ? cfg->version : 0) < highest)
			fault("config-monotonic", std::string(n->name) + " fell below version " +
							  std::to_string(highest));
		else if (cfg)
			highest = cfg->version;
	}
}

void World::apply(const Command &c)
{
	if (c.kind <= Kind::Repeat)
		request(c);
	else if (c.kind <= Kind::Stop)
		instance(c);
	else if (c.kind <= Kind::Late)
		network(c);
	else if (c.kind <= Kind::PlatformUp)
		platform(c);
	else if (c.kind <= Kind::TargetUp)
		target(c);
	sim_run(s_, s_->now + c.ms);
	observe();
}

void World::finish()
{
	heal();
	s_->platform_down = false;
	sim_apply(s_, ++version_, rules(0).c_str());
	for (int i = 0; i < s_->node_count; i++)
		restart(i);
	sim_run(s_, s_->now + 30000);
	observe();
	for (size_t i = 0; i < handles_.size(); i++) {
		const Handle &h = handles_[i];
		const sim_node *n = &s_->nodes[h.node];

		if (h.answers == 0 && n->core && n->incarnation == h.incarnation)
			fault("one-answer", "request " + std::to_string(h.request) +
						    " has no answer at " + n->name);
	}
	for (const Request &r : requests_) {
		check_not_run(r, r.not_run, "honest-not-run");
		check_not_run(r, r.repeat_not_run, "honest-not-run of repeats");
	}
}

void World::check_not_run(const Request &r, const std::map<unsigned, std::string> &said,
			  const std::string &guarantee)
{
	for (const auto &s : said)
		if (s.first < r.starts.size() && r.starts[s.first])
			fault(guarantee, s.second + " says not run, " +
						 std::to_string(r.starts[s.first]) + " start(s), " +
						 std::to_string(r.copies) + " copies");
}
