# Measurements on the real core, many cores in one process (bench/sim.h).
BENCH_COMMON := $(filter-out bench/bench_% bench/capacity_%,$(wildcard bench/*.c))
$(B)/bench/bench_capacity: $(call objs,$(wildcard bench/capacity_*.c))
$(BENCHES): $(B)/bench/bench_%: $(B)/bench/bench_%.o $(call objs,$(BENCH_COMMON)) $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB_A) $(PKG_LIBS)

.PHONY: measure measure-capacity
measure-capacity: $(B)/bench/bench_capacity
	@$<
measure: $(B)/bench/bench_placement $(B)/bench/bench_steering $(B)/bench/bench_log $(B)/bench/bench_evidence $(B)/bench/bench_admission $(B)/hickorytrestle-entry $(B)/standins/metadata
	@$<
	@$(B)/bench/bench_steering
	@$(B)/bench/bench_log
	@$(B)/bench/bench_evidence
	@$(B)/bench/bench_admission
	@HT_BUILD=$(B) PYTHONDONTWRITEBYTECODE=1 python3 scripts/measure_start.py
