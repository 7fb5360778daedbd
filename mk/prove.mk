# Models and property tests first: a promise is printed as kept only after they have passed.
.PHONY: prove
prove: setup
	$(Q)$(MAKE) all
	$(Q)scripts/model.sh
	$(Q)scripts/run-tests.sh $(B) $(PROPS)
	$(Q)HT_BUILD=$(B) PYTHONDONTWRITEBYTECODE=1 python3 scripts/prove.py
