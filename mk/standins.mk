# Tests of the stand-ins use their shared code and start the built programs.
$(B)/tests/standins/%: $(B)/tests/standins/%.o $(call objs,$(STANDIN_COMMON)) $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $< $(call objs,$(STANDIN_COMMON)) $(LIB_A) $(CHECK_LIBS) $(PKG_LIBS)
$(filter $(B)/tests/standins/%,$(TESTS)): $(patsubst %.c,$(B)/%,$(STANDIN_MAINS))

# Tests of the entry program share the stand-in of the store.
$(B)/tests/entry/%: $(B)/tests/entry/%.o $(B)/standins/common/metadata.o $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $< $(B)/standins/common/metadata.o $(LIB_A) $(CHECK_LIBS) $(PKG_LIBS)

# Scripts that play the built programs.
PYTHON := HT_BUILD=$(B) PYTHONDONTWRITEBYTECODE=1 python3

.PHONY: test-scripts soak
test: test-scripts
test-scripts: all
	@python3 tests/scripts/test_evidence.py
	@python3 tests/scripts/test_pages.py
	@python3 tests/scripts/test_regress.py
	@python3 tests/scripts/test_compare.py
	@python3 tests/scripts/test_soak.py
	@$(PYTHON) tests/scripts/test_operations.py
	@$(PYTHON) tests/scripts/test_returns.py
	@$(PYTHON) scripts/soak.py --seconds $(SOAK_SHORT_S) $$(grep -o '^[0-9]*' tests/soak/seeds.txt)

# make soak SEED="n ..." plays seeds at full length; logs of those that break a promise are kept.
SOAK_SHORT_S := 6
SEED ?= 1
soak: all
	@mkdir -p $(B)/soak
	@$(PYTHON) scripts/soak.py --keep $(B)/soak $(SEED)
