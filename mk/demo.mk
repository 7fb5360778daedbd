.PHONY: demo
demo: all
	python3 scripts/demo.py
