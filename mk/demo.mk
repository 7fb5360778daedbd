.PHONY: demo
demo: all
	PYTHONDONTWRITEBYTECODE=1 python3 scripts/demo.py
