.PHONY: prove
prove: all
	python3 scripts/prove.py
