/*
 * A deployment of several cores under a random interleaving of events, with the callers' view of
 * their requests. Collects violations of the guarantees of the design, section 1.2.
 */
#ifndef HT_TESTS_PROPERTY_WORLD_H
#define HT_TESTS_PROPERTY_WORLD_H

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "bench/sim.h"
}

enum class Kind {
	Get,	       // a new idempotent request
	Post,	       // a new posting; with a ticket as soon as one was given
	Repeat,	       // a copy of an open request through another ingress
	Kill,	       // a process ends, and its peers see the reset
	Vanish,	       // a process ends, and its peers get no reset
	Restart,       // a process that has ended starts again
	Stop,	       // planned stop
	Cut,	       // the link between two instances loses all messages, both ways
	CutOneWay,     // it loses them in one direction
	Heal,	       // all links work
	Loss,	       // a share of the peer messages is lost
	Late,	       // peer messages are delayed by up to 400 ms
	Change,	       // another configuration
	Restore,       // the platform returns to the first configuration
	PlatformDown,  // calls to the platform fail
	PlatformUp,    //
	TargetDown,    // a target's connections are down
	TargetLosing,  // it loses each request after starting it
	TargetRefuses, // it refuses each request before starting it
	TargetUp,      //
	Wait,	       // time passes, up to some seconds
};

struct Command {
	Kind kind;
	unsigned a, b; // arguments of the kind: flow, instance, target
	unsigned ms;   // time that passes afterwards
};

std::ostream &operator<<(std::ostream &os, const Command &c);

// One request of a caller. A posting that was "not run" gets a new ticket and may run with that, so
// answers are checked per ticket; index 0 is without a ticket.
struct Request {
	unsigned flow = 0;
	std::string service;
	bool posting = false;
	bool done = false; // the caller has a final answer and sends no more copies
	std::vector<uint8_t> ticket;
	unsigned tickets = 0; // tickets that the caller has used so far
	unsigned copies = 0;
	std::vector<unsigned> starts;			// runs started at targets, by ticket
	std::vector<std::pair<int, uint64_t>> starters; // instance and its incarnation
	std::map<unsigned, std::string> not_run;	// last "not run" answer, by ticket
	std::map<unsigned, std::string>
		repeat_not_run; // the same for idempotent requests with copies
};

struct Handle {
	size_t request;
	int node;
	uint64_t incarnation;
	unsigned answers;
	unsigned ticket; // number of its ticket, 0 without
};

class World
{
      public:
	World(unsigned nodes, unsigned dcs, uint64_t seed);
	~World();
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	void apply(const Command &c);
	// Removes all faults, waits until all requests must have ended, and checks the results.
	void finish();
	// Violations, by name of the guarantee. "honest-not-run of repeats" is separate: it covers
	// a copy of an idempotent request that arrives when no instance that started an earlier
	// copy is left.
	const std::multimap<std::string, std::string> &faults() const
	{
		return faults_;
	}
	size_t answered() const
	{
		return answered_;
	}
	size_t started() const
	{
		return started_;
	}

      private:
	static void on_answer(void *ctx, sim_node *n, uint64_t handle, const ht_answer *a);
	static ht_ms on_start(void *ctx, sim_node *n, struct sim_target *t,
			      const ht_target_request *r);
	std::string rules(unsigned variant) const;
	void fault(const std::string &guarantee, const std::string &text);
	void record_not_run(Request &r, const Handle &h, const std::string &what);
	void check_not_run(const Request &r, const std::map<unsigned, std::string> &said,
			   const std::string &guarantee);
	void send(size_t request, int node);
	void repeat(unsigned a, unsigned b);
	void request(const Command &c);
	void instance(const Command &c);
	void network(const Command &c);
	void platform(const Command &c);
	void target(const Command &c);
	void heal();
	void restart(int node);
	void observe();
	int running(unsigned n) const;

	sim *s_;
	bool cut_ = false; // a network fault has occurred
	uint64_t version_ = 1;
	std::vector<Request> requests_;
	std::vector<Handle> handles_;
	std::map<uint64_t, uint64_t> versions_; // highest seen by incarnation
	std::multimap<std::string, std::string> faults_;
	size_t answered_ = 0, started_ = 0;
};

#endif
