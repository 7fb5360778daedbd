# The program for the users' platform. It links only the objects that it needs, so that starting it
# loads no other library; `make entry` builds it into target/ with the packages of deploy/system.toml.
ENTRY_CORE := admission answers catalog catalog_evacuations catalog_routes evidence explain fanout flow_table leaving load load_members load_view neighbours overload placing reading reports rotation split steering warmup
ENTRY_PLATFORM := era json_repair http http_server packet readiness store store_decode
ENTRY_WIRE := buffer frame entry.pb-c
ENTRY_BASE := addr clock err event exposition file hash histogram hmap listen logger options
ENTRY_SRC = $(wildcard entry/*.c) $(ENTRY_CORE:%=core/%.c) $(ENTRY_PLATFORM:%=platform/%.c) \
	$(ENTRY_WIRE:%=wire/%.c) $(ENTRY_BASE:%=base/%.c)
# All but the C library are linked in: each shared library costs start-up time on a small share of a
# core (322 thousand instructions until main() with shared ones, 164 thousand without).
ENTRY_LIBS := -Wl,-Bstatic -lhttp_parser -ljansson -lxxhash -lprotobuf-c -lev -Wl,-Bdynamic -lm

$(B)/hickorytrestle-entry: $(call objs,$(ENTRY_SRC))
	$(Q)$(CC) $(LDFLAGS) -Wl,-O1,--as-needed -o $@ $^ $(ENTRY_LIBS)
all: $(B)/hickorytrestle-entry

.PHONY: entry
entry:
	$(MAKE) B=target PKGS=jansson target/hickorytrestle-entry

# Its tests start the built program.
$(filter $(B)/tests/entry/%,$(TESTS)): $(B)/hickorytrestle-entry
