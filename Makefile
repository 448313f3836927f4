# Every target creates the virtual environment on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SHAPE ?= bakery
SEED ?= 1
EXAMPLES ?= 50
PYTEST_OPTIONS ?=

.PHONY: demo test check format proof bench capacity clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-e '.[development]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo.run_demo --shape $(SHAPE)

test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proof: $(STAMP)
	$(BIN)/python -m testing.proof.run_proof --seed $(SEED) --examples $(EXAMPLES)

# About 25 minutes on a quiet machine.
bench: $(STAMP)
	$(BIN)/python -m bench.processes --write docs/measurements.md
	$(BIN)/python -m bench.placement --write docs/measurements-placement.md
	$(BIN)/python -m bench.placement --parts \
		--write docs/measurements-placement-parts.md
	$(BIN)/python -m bench.placement_cost \
		--write docs/measurements-placement-cost.md
	$(BIN)/python -m bench.routing --write docs/measurements-routing.md

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity --write docs/CAPACITY.md

clean:
	rm -rf $(VENV) build *.egg-info
