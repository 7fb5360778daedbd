# hickorytrestle: a workspace of packages with two binaries, hickorytrestled and hickoryctl.
#
#   make            build everything        make check    set-up, format, lint, manual pages, tests, sanitizers
#   make demo       one deployment, end to end
#   make prove      the eight promises      make measure  imbalance, control bytes, platform calls
#
# SAN=1 builds into build-san with the address and undefined-behaviour sanitizers.
CC := gcc
CXX := g++
# V=1 shows the commands.
Q := $(if $(V),,@)
SAN ?=
B := build$(if $(SAN),-san)
PKGS := libcoap-3-notls libprotobuf-c jansson libmicrohttpd libsodium glib-2.0 libxxhash
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS) | sed 's/-I/-isystem /g')
PKG_LIBS = $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lev -lm
CHECK_LIBS = $(shell pkg-config --libs check)

comma := ,
SANFLAGS := $(if $(SAN),-fsanitize=address$(comma)undefined -fno-sanitize-recover=all)
CFLAGS ?= -O2 -g
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wvla
ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE -I. $(PKG_CFLAGS) $(CFLAGS) $(SANFLAGS)
LDFLAGS += $(SANFLAGS)

# Packages in link order: a package may use those to its right.
LIBS := entry daemon ctl core platform rules wire base
lib_src = $(filter-out %/main.c,$(wildcard $(1)/*.c))
objs = $(patsubst %.c,$(B)/%.o,$(1))
LIB_A := $(foreach l,$(LIBS),$(if $(call lib_src,$(l)),$(B)/lib$(l).a))

STANDIN_MAINS := $(wildcard standins/*.c)
STANDIN_COMMON := $(wildcard standins/common/*.c)
TESTS := $(patsubst %.c,$(B)/%,$(wildcard tests/*/test_*.c))
PROPS := $(patsubst %.cc,$(B)/%,$(wildcard tests/property/prop_*.cc))
BENCHES := $(patsubst %.c,$(B)/%,$(wildcard bench/bench_*.c))
BINARIES := $(foreach p,daemon ctl,$(if $(wildcard $(p)/main.c),$(B)/$(if $(filter daemon,$(p)),hickorytrestled,hickoryctl)))

.PHONY: all setup clean format format-check lint test check
all: $(BINARIES) $(patsubst %.c,$(B)/%,$(STANDIN_MAINS)) $(TESTS) $(PROPS) $(BENCHES)

setup:
	@scripts/setup.sh

$(B)/wire/%.pb-c.o: WARN := -w
$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(ALL_CFLAGS) $(WARN) -MMD -MP -c -o $@ $<
$(B)/%.o: %.cc
	@mkdir -p $(@D)
	$(Q)$(CXX) -std=c++17 -D_GNU_SOURCE -I. $(PKG_CFLAGS) $(CFLAGS) $(SANFLAGS) -Wall -Wextra -MMD -MP -c -o $@ $<

define lib_rule
$(B)/lib$(1).a: $(call objs,$(call lib_src,$(1)))
	@rm -f $$@
	$$(Q)ar rcs $$@ $$^
endef
$(foreach l,$(LIBS),$(eval $(call lib_rule,$(l))))

$(B)/hickorytrestled: $(B)/daemon/main.o $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $< $(LIB_A) $(PKG_LIBS)
$(B)/hickoryctl: $(B)/ctl/main.o $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $< $(LIB_A) $(PKG_LIBS)
$(B)/standins/%: $(B)/standins/%.o $(call objs,$(STANDIN_COMMON)) $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $< $(call objs,$(STANDIN_COMMON)) $(LIB_A) $(PKG_LIBS)
$(B)/tests/property/prop_%: $(B)/tests/property/prop_%.o $(LIB_A)
	$(Q)$(CXX) $(LDFLAGS) -o $@ $< $(LIB_A) -lrapidcheck $(PKG_LIBS)
$(B)/tests/%: $(B)/tests/%.o $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $< $(LIB_A) $(CHECK_LIBS) $(PKG_LIBS)
$(B)/bench/bench_%: $(B)/bench/bench_%.o $(LIB_A)
	$(Q)$(CC) $(LDFLAGS) -o $@ $< $(LIB_A) $(PKG_LIBS)
.SECONDARY:

# The generated code is committed; run this after a change of the schema.
.PHONY: generate
generate:
	cd wire && protoc-c --c_out=. peer.proto entry.proto

FORMATTED = $(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | grep -v pb-c)
LINTED = $(shell git ls-files -co --exclude-standard '*.c' | grep -v -e pb-c -e '^fuzz/')
format:
	clang-format -i $(FORMATTED)
format-check:
	@clang-format --dry-run -Werror $(FORMATTED)
lint:
	@mkdir -p $(B)
	@printf '%s\n' $(LINTED) | xargs -P 4 -n 1 sh -c 'clang-tidy --quiet "$$@" -- -Wno-unknown-warning-option $(ALL_CFLAGS) 2>/dev/null' lint
	@scripts/check-events.sh

# Runs every unit test and property test; fixed seeds, so that each run gives the same verdict.
test: all
	@scripts/run-tests.sh $(B) $(TESTS) -- $(PROPS)

check: setup
	$(MAKE) all
	$(MAKE) format-check
	$(MAKE) lint
	$(MAKE) man-check
	$(MAKE) test
	$(MAKE) SAN=1 test
	$(MAKE) fuzz FUZZ_RUNS=20000 FUZZ_SECONDS=30
	$(MAKE) model

clean:
	rm -rf build build-san

-include mk/*.mk
-include $(shell find $(B) -name '*.d' 2>/dev/null)
