# Model checking of the core protocols with Spin.
.PHONY: model
model:
	@scripts/model.sh
