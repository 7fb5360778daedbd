# make regress BENCH=PROGRAM SITES="FILE ..." [HUNT=DAYS] [LARGE_HUNT=DAYS] plays deployments of the users'
# platform on their bench; it is no part of `make check`.
BENCH ?= $(HT_BENCH)
SITES ?= $(HT_SITES)
HUNT ?= 40
LARGE_HUNT ?= 8

.PHONY: regress
regress:
	@python3 scripts/regress.py --bench "$(BENCH)" --hunt $(HUNT) --large-hunt $(LARGE_HUNT) $(SITES)
