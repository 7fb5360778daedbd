.PHONY: demo
demo: setup
	$(Q)$(MAKE) all
	$(Q)HT_BUILD=$(B) PYTHONDONTWRITEBYTECODE=1 python3 scripts/demo.py
	$(Q)HT_BUILD=$(B) PYTHONDONTWRITEBYTECODE=1 python3 scripts/demo_entry.py
