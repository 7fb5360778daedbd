.PHONY: prove
prove: all
	PYTHONDONTWRITEBYTECODE=1 python3 scripts/prove.py
