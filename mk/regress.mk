# make regress BENCH=PROGRAM SITES="FILE ..." [HUNT=DAYS] [LARGE_HUNT=DAYS] plays deployments of the users'
# platform on their bench. make compare BENCH=PROGRAM REVISIONS=OLD,NEW SITES="FILE ..." [DAYS=NAME,...]
# [SEEDS=N,...] plays the same days with several revisions. Neither is part of `make check`.
BENCH ?= $(HT_BENCH)
SITES ?= $(HT_SITES)
HUNT ?= 40
LARGE_HUNT ?= 8

REVISIONS ?=
DAYS ?= trouble-1,scale-1
SEEDS ?=
COMPARE_OUT ?= $(B)/compare

.PHONY: regress compare
compare:
	@python3 scripts/compare.py --bench "$(BENCH)" --revisions "$(REVISIONS)" --days "$(DAYS)" \
		--seeds "$(SEEDS)" --out "$(COMPARE_OUT)" $(SITES)
regress:
	@python3 scripts/regress.py --bench "$(BENCH)" --hunt $(HUNT) --large-hunt $(LARGE_HUNT) $(SITES)
