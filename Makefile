VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core daemon cli testkit
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench scenarios soak fault-soak capacity

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(foreach name,$(PACKAGES),-e packages/almondgap-$(name))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m almondgap_testkit.demo

test: $(STAMP)
	$(BIN)/python -m almondgap_testkit.suite tests

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m almondgap_testkit.bench $(if $(REPORT),--report $(REPORT))

scenarios: $(STAMP)
	$(BIN)/python -m almondgap_testkit.scenarios

SEEDS ?= 1000
soak: $(STAMP)
	$(BIN)/python -m almondgap_testkit.scenarios scenarios/trust/random.scenario \
		--seeds $(SEEDS)

SEED ?= 1
COUNT ?= 50
KEEP ?= soak-failures
fault-soak: $(STAMP)
	$(BIN)/python -m almondgap_testkit.soak --seed $(SEED) --count $(COUNT) \
		--keep $(KEEP)

capacity: $(STAMP)
	$(BIN)/python -m almondgap_testkit.capacity
