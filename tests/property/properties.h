// Builds properties from kinds of disturbances: random commands, half of them requests.
#ifndef HT_TESTS_PROPERTY_PROPERTIES_H
#define HT_TESTS_PROPERTY_PROPERTIES_H

#include "tests/property/world.h"

#include <cstdlib>
#include <string>

#include <rapidcheck.h>

// Sets the seed and the number of cases unless RC_PARAMS gives them. Call it first.
inline void fix_params(const char *cases)
{
	const char *given = std::getenv("RC_PARAMS");
	std::string params = given ? given : "";

	if (params.find("seed=") == std::string::npos)
		params += " seed=20261204";
	if (params.find("max_success=") == std::string::npos)
		params += std::string(" max_success=") + cases;
	setenv("RC_PARAMS", params.c_str(), 1);
}

inline rc::Gen<Command> command(const std::vector<Kind> &kinds, unsigned longest)
{
	return rc::gen::build<Command>(
		rc::gen::set(&Command::kind, rc::gen::elementOf(kinds)),
		rc::gen::set(&Command::a, rc::gen::inRange(0U, 64U)),
		rc::gen::set(&Command::b, rc::gen::inRange(0U, 64U)),
		rc::gen::set(&Command::ms,
			     rc::gen::oneOf(rc::gen::inRange(0U, 20U), rc::gen::inRange(0U, 500U),
					    rc::gen::inRange(0U, longest))));
}

// Adds requests so that they are as likely as all disturbances together.
inline std::vector<Kind> with_requests(const std::vector<Kind> &disturbances)
{
	std::vector<Kind> kinds = disturbances;

	for (size_t i = 0; i <= disturbances.size() / 2; i++) {
		kinds.push_back(Kind::Get);
		kinds.push_back(Kind::Post);
		kinds.push_back(Kind::Repeat);
	}
	kinds.push_back(Kind::Wait);
	return kinds;
}

// Checks all guarantees, or with @repeats only the one for repeated idempotent requests.
inline bool holds(const std::string &name, const std::vector<Kind> &disturbances, unsigned longest,
		  bool repeats = false)
{
	std::vector<Kind> kinds = with_requests(disturbances);

	return rc::check(name, [&] {
		auto nodes = *rc::gen::inRange(3U, 6U);
		auto dcs = *rc::gen::inRange(1U, 3U);
		auto seed = *rc::gen::inRange(1U, 1000U);
		auto commands = *rc::gen::scale(
			1.5, rc::gen::container<std::vector<Command>>(command(kinds, longest)));
		World world(nodes, dcs, seed);

		for (const Command &c : commands)
			world.apply(c);
		world.finish();
		size_t faults = 0;

		for (const auto &f : world.faults()) {
			if ((f.first == "honest-not-run of repeats") != repeats)
				continue;
			RC_LOG() << f.first << ": " << f.second << "\n";
			faults++;
		}
		RC_CLASSIFY(world.started() > 0);
		RC_ASSERT(faults == 0U);
	});
}

#endif
