# Fuzz targets, built with clang's libFuzzer. `make fuzz` runs each for a fixed number of inputs
# from a fixed seed; FUZZ_RUNS=N changes the number.
FUZZ_RUNS ?= 30000
FUZZ_DIR := build-fuzz
FUZZERS := $(patsubst fuzz/%.c,$(FUZZ_DIR)/%,$(wildcard fuzz/fuzz_*.c))
FUZZ_FLAGS := -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -O1 -g
FUZZ_SRC := $(wildcard base/*.c) wire/frame.c wire/peer.pb-c.c daemon/settings.c daemon/caller_message.c

.PHONY: fuzz fuzz-build
fuzz-build: $(FUZZERS)

$(FUZZ_DIR)/%: fuzz/%.c $(FUZZ_SRC) $(wildcard base/*.h wire/*.h daemon/*.h)
	@mkdir -p $(@D)
	$(Q)clang -std=gnu11 -D_GNU_SOURCE -I. $(PKG_CFLAGS) $(FUZZ_FLAGS) -o $@ $< $(FUZZ_SRC) $(PKG_LIBS)

fuzz: fuzz-build
	@for f in $(FUZZERS); do \
		log=$(FUZZ_DIR)/$$(basename $$f).log; \
		if $$f -runs=$(FUZZ_RUNS) -seed=20261204 -max_len=2048 -timeout=5 -rss_limit_mb=1024 \
			-artifact_prefix=$(FUZZ_DIR)/ >$$log 2>&1; \
		then echo "ok   $$f: $(FUZZ_RUNS) inputs"; \
		else echo "FAIL $$f"; tail -n 40 $$log; exit 1; fi; \
	done
