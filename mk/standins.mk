# Tests of the stand-ins use their shared code and start the built programs.
$(B)/tests/standins/%: $(B)/tests/standins/%.o $(call objs,$(STANDIN_COMMON)) $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $< $(call objs,$(STANDIN_COMMON)) $(LIB_A) $(CHECK_LIBS) $(PKG_LIBS)
$(filter $(B)/tests/standins/%,$(TESTS)): $(patsubst %.c,$(B)/%,$(STANDIN_MAINS))

.PHONY: test-scripts
test: test-scripts
test-scripts:
	@python3 tests/scripts/test_evidence.py
	@python3 tests/scripts/test_pages.py
