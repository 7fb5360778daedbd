# Property tests drive the core through the simulation of bench/.
PROP_OBJS = $(patsubst %.cc,$(B)/%.o,$(filter-out tests/property/prop_%,$(wildcard tests/property/*.cc)))
$(PROPS): $(B)/%: $(B)/%.o $(PROP_OBJS) $(call objs,$(wildcard bench/sim*.c)) $(LIB_A)
	$(Q)$(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB_A) -lrapidcheck $(PKG_LIBS)

# Tests of loads use the simulations of flows and queues.
$(B)/tests/core/test_admission: $(B)/tests/core/test_admission.o $(B)/bench/queuesim.o $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB_A) $(CHECK_LIBS) $(PKG_LIBS)
$(B)/tests/core/test_load: $(B)/tests/core/test_load.o $(B)/bench/flowsim.o $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB_A) $(CHECK_LIBS) $(PKG_LIBS)
