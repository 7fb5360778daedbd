.PHONY: prove
prove: all
	$(Q)HT_BUILD=$(B) PYTHONDONTWRITEBYTECODE=1 python3 scripts/prove.py
