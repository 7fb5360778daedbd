# The program for the users' platform. It links only the objects that it needs, so that starting it
# loads no other library; `make entry` builds it into target/ with the packages of deploy/system.toml.
ENTRY_CORE := catalog evidence leaving placing reading steering
ENTRY_PLATFORM := http packet store store_decode
ENTRY_BASE := addr clock err event file hash hmap options
ENTRY_SRC = $(wildcard entry/*.c) $(ENTRY_CORE:%=core/%.c) $(ENTRY_PLATFORM:%=platform/%.c) \
	$(ENTRY_BASE:%=base/%.c)
ENTRY_LIBS := -lhttp_parser -ljansson -lxxhash -lev -lm

$(B)/hickorytrestle-entry: $(call objs,$(ENTRY_SRC))
	$(Q)$(CC) $(LDFLAGS) -Wl,-O1,--as-needed -o $@ $^ $(ENTRY_LIBS)
all: $(B)/hickorytrestle-entry

.PHONY: entry
entry:
	$(MAKE) B=target PKGS=jansson target/hickorytrestle-entry
