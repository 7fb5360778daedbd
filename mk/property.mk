# Property tests drive the core through the simulation of bench/.
PROP_OBJS = $(patsubst %.cc,$(B)/%.o,$(filter-out tests/property/prop_%,$(wildcard tests/property/*.cc)))
$(PROPS): $(B)/%: $(B)/%.o $(PROP_OBJS) $(call objs,$(wildcard bench/sim*.c)) $(LIB_A)
	$(Q)$(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB_A) -lrapidcheck $(PKG_LIBS)
