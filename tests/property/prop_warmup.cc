// Property: instances with different views of their data centre never send a cold target more new
// flows than its limit in any second.
#include "tests/property/properties.h"

extern "C" {
#include "base/hash.h"
#include "core/warmup.h"
}

#include <algorithm>
#include <set>

namespace
{

struct Sender {
	ht_warmup_peers peers = {};
	ht_warmup flows = {};

	Sender() = default;
	Sender(const Sender &) = delete;
	Sender &operator=(const Sender &) = delete;
	~Sender()
	{
		ht_warmup_clear_peers(&peers);
	}
};

// Each sender knows all other senders and any of those that are gone.
void introduce(std::vector<Sender> &senders, size_t gone, const std::vector<unsigned> &knows)
{
	for (size_t i = 0; i < senders.size(); i++) {
		std::vector<uint64_t> others;

		for (size_t k = 0; k < senders.size() + gone; k++)
			if (k != i && (k < senders.size() ||
				       knows[i % knows.size()] >> (k - senders.size()) & 1U))
				others.push_back(ht_hash_pair(k, 5));
		senders[i].peers.own = ht_hash_pair(i, 5);
		RC_ASSERT(ht_warmup_set_peers(&senders[i].peers, others.data(), others.size()));
	}
}

size_t most_in_a_second(const std::vector<ht_ms> &sent)
{
	size_t most = 0;

	for (size_t i = 0, k = 0; i < sent.size(); i++) {
		while (sent[i] - sent[k] >= 1000)
			k++;
		most = std::max(most, i - k + 1);
	}
	return most;
}

} // namespace

int main()
{
	fix_params("200");
	return rc::check("instances with different views keep the limit of a cold target",
			 [] {
				 auto count = *rc::gen::inRange<size_t>(1, 60);
				 auto gone = *rc::gen::inRange<size_t>(0, 8);
				 auto total =
					 *rc::gen::inRange<uint32_t>(1, HT_WARMUP_PERMITS_MAX + 1);
				 auto target = *rc::gen::arbitrary<uint64_t>();
				 auto knows = *rc::gen::container<std::vector<unsigned>>(
					 8, rc::gen::inRange(0U, 256U));
				 auto steps = *rc::gen::container<
					 std::vector<std::pair<unsigned, unsigned>>>(
					 600, rc::gen::pair(rc::gen::inRange(0U, 1000U),
							    rc::gen::inRange(0U, 12U)));
				 std::vector<Sender> senders(count);
				 std::vector<ht_ms> sent;
				 ht_ms now = 100000;

				 introduce(senders, gone, knows);
				 for (const auto &step : steps) {
					 Sender &s = senders[step.first % count];

					 now += step.second;
					 if (!ht_warmup_allows(&s.flows, &s.peers, target, total,
							       now))
						 continue;
					 ht_warmup_use(&s.flows, now);
					 sent.push_back(now);
				 }
				 RC_ASSERT(most_in_a_second(sent) <= total);
				 RC_CLASSIFY(most_in_a_second(sent) == total, "limit reached");
			 })
		       ? 0
		       : 1;
}
