# make install DESTDIR=... PREFIX=... installs binaries, manual pages, examples and operators' pages.
# make man writes the manual pages from the help texts of the built binaries; man-check compares.
DESTDIR ?=
PREFIX ?= /usr/local
INSTALL ?= install
CTL_COMMANDS := check diff apply show status drain evacuate end-evacuation timeline explain
DOCS := docs/OPERATIONS.md docs/platform.md docs/events.md docs/glossary.md
MAN := hickoryctl.1 hickorytrestle-entry.8 $(if $(wildcard daemon/main.c),hickorytrestled.8)

$(B)/man/hickoryctl.1: $(B)/hickoryctl scripts/make-man.sh
	@mkdir -p $(@D)
	$(Q)scripts/make-man.sh $< 1 hickoryctl "operate the load balancer hickorytrestle" $(CTL_COMMANDS) > $@
$(B)/man/hickorytrestled.8: $(B)/hickorytrestled scripts/make-man.sh
	@mkdir -p $(@D)
	$(Q)scripts/make-man.sh $< 8 hickorytrestled "entry instance of the load balancer hickorytrestle" > $@

$(B)/man/hickorytrestle-entry.8: $(B)/hickorytrestle-entry scripts/make-man.sh
	@mkdir -p $(@D)
	$(Q)scripts/make-man.sh $< 8 hickorytrestle-entry "entry instance on the users' platform" > $@

.PHONY: man man-check install
man: $(MAN:%=$(B)/man/%)
	@mkdir -p man
	cp $^ man/
man-check: $(MAN:%=$(B)/man/%)
	@for m in $(MAN); do diff -u man/$$m $(B)/man/$$m || { echo "man/$$m: run make man" >&2; exit 1; }; done

install: $(BINARIES) $(B)/hickorytrestle-entry $(MAN:%=$(B)/man/%)
	$(INSTALL) -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/sbin
	$(INSTALL) -m 755 $(B)/hickoryctl $(DESTDIR)$(PREFIX)/bin/
	$(if $(wildcard daemon/main.c),$(INSTALL) -m 755 $(B)/hickorytrestled $(DESTDIR)$(PREFIX)/sbin/)
	$(INSTALL) -m 755 $(B)/hickorytrestle-entry $(DESTDIR)$(PREFIX)/sbin/
	$(INSTALL) -d $(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8
	$(INSTALL) -m 644 $(B)/man/hickoryctl.1 $(DESTDIR)$(PREFIX)/share/man/man1/
	$(if $(wildcard daemon/main.c),$(INSTALL) -m 644 $(B)/man/hickorytrestled.8 $(DESTDIR)$(PREFIX)/share/man/man8/)
	$(INSTALL) -m 644 $(B)/man/hickorytrestle-entry.8 $(DESTDIR)$(PREFIX)/share/man/man8/
	$(INSTALL) -d $(DESTDIR)$(PREFIX)/share/doc/hickorytrestle
	$(INSTALL) -m 644 $(wildcard $(DOCS)) $(DESTDIR)$(PREFIX)/share/doc/hickorytrestle/
	cp -R examples $(DESTDIR)$(PREFIX)/share/doc/hickorytrestle/
