# libFuzzer targets: `make fuzz` builds fuzz/fuzz_*.c with clang and runs each one for FUZZ_RUNS
# inputs or FUZZ_SECONDS, whichever comes first. FUZZ=NAME runs one target.
FUZZ_RUNS ?= 200000
FUZZ_SECONDS ?= 60
FUZZ_SEED ?= 20261204
FUZZ ?= $(patsubst fuzz/%.c,%,$(wildcard fuzz/fuzz_*.c))
F := build-fuzz
FUZZ_FLAGS := -g -O1 -fsanitize=address,undefined -fno-sanitize-recover=all
FUZZ_OBJS = $(patsubst %.c,$(F)/%.o,$(foreach l,$(LIBS),$(call lib_src,$(l))))

$(F)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)clang -std=gnu11 -D_GNU_SOURCE -I. $(PKG_CFLAGS) $(FUZZ_FLAGS) -fsanitize=fuzzer-no-link -MMD -MP -c -o $@ $<
$(F)/lib.a: $(FUZZ_OBJS)
	@rm -f $@
	$(Q)ar rcs $@ $^
$(F)/fuzz_%: $(F)/fuzz/fuzz_%.o $(F)/lib.a
	$(Q)clang $(FUZZ_FLAGS) -fsanitize=fuzzer -o $@ $^ $(PKG_LIBS)

.PHONY: fuzz $(FUZZ:%=run-%)
fuzz: $(FUZZ:%=run-%)
$(FUZZ:%=run-%): run-fuzz_%: $(F)/fuzz_%
	@mkdir -p $(F)/corpus/$*
	$(Q)$< -seed=$(FUZZ_SEED) -runs=$(FUZZ_RUNS) -max_total_time=$(FUZZ_SECONDS) -rss_limit_mb=1024 \
		-artifact_prefix=$(F)/ -print_final_stats=1 $(F)/corpus/$* $(wildcard fuzz/seeds/$*)
-include $(shell find $(F) -name '*.d' 2>/dev/null)
