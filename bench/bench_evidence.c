/*
 * What instances make of targets with a fault, by the way they come to their belief: nine instances
 * before 18 targets at 0.4 of their capacity, four targets get the fault, five seconds of play.
 */
#include "bench/flowsim.h"

#include <stdio.h>

#define FAULTY 4
#define BEFORE_MS 3500
#define PLAY_MS 5000

static const char *const belief_names[] = {
	[FLOWSIM_PROBE] = "probe only",
	[FLOWSIM_OWN] = "own evidence",
	[FLOWSIM_SHARED] = "shared evidence",
};

static const char *const fault_names[] = {
	[FLOWSIM_NONE] = "none",
	[FLOWSIM_DEAD] = "dead",
	[FLOWSIM_HANGS] = "hangs",
	[FLOWSIM_ERRORS] = "errors",
	[FLOWSIM_SLOW] = "slow",
	[FLOWSIM_FLAPS] = "flaps",
	[FLOWSIM_ILL_ONLY] = "only said to be ill",
};

int main(void)
{
	printf("| fault | belief | found after ms | not found | flows to it | failed | "
	       "good targets left out |\n|---|---|---|---|---|---|---|\n");
	for (int fault = FLOWSIM_NONE; fault <= FLOWSIM_ILL_ONLY; fault++) {
		for (int belief = 0; belief < FLOWSIM_BELIEFS; belief++) {
			struct flowsim_params params;
			struct flowsim_sums sums;
			struct flowsim *sim;

			flowsim_params_default(&params);
			params.belief = (enum flowsim_belief)belief;
			sim = flowsim_new(&params);
			flowsim_run(sim, BEFORE_MS);
			flowsim_clear(sim);
			flowsim_set_fault(sim, fault == FLOWSIM_NONE ? 0 : FAULTY,
					  (enum flowsim_fault)fault);
			flowsim_run(sim, PLAY_MS);
			flowsim_sums(sim, &sums);
			printf("| %s | %s | %.0f | %.0f %% | %llu | %llu of %llu | %.2f %% |\n",
			       fault_names[fault], belief_names[belief], sums.detected,
			       sums.missed * 100, (unsigned long long)sums.lost,
			       (unsigned long long)sums.failed, (unsigned long long)sums.asked,
			       sums.doubted * 100);
			flowsim_free(sim);
		}
	}
	return 0;
}
