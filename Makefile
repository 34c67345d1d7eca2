PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= hanbit
SEEDS ?= 1000
STEPS ?= 400
FIRST ?= 1
SHARDS ?= 1
RUNS ?= 5

.PHONY: setup test lint demo bench experiment soak fault-soak capacity clean

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m flamingoramp.tests.run

demo: setup
	$(BIN)/python -m bench.demo --deployment=$(DEPLOYMENT)

bench: setup
	$(BIN)/python -m bench.load --deployment=$(DEPLOYMENT)

experiment: setup
	$(BIN)/python -m bench.experiment.main --deployment=$(DEPLOYMENT) --seeds=$(RUNS)

soak: setup
	$(BIN)/python -m bench.soak --seeds=$(SEEDS) --steps=$(STEPS) --first=$(FIRST) --shards=$(SHARDS)

fault-soak: SEEDS = 50
fault-soak: setup
	$(BIN)/python -m bench.fault_soak.main --seeds=$(SEEDS) --first=$(FIRST)

capacity: setup
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.path

clean:
	rm -rf $(VENV) build *.egg-info .ruff_cache
