# Every target creates the virtual environment on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SHAPE ?= bakery
SEED ?= 1
EXAMPLES ?= 50

.PHONY: demo test check format proof bench capacity clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-e '.[development]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo.run_demo --shape $(SHAPE)

test: $(STAMP)
	$(BIN)/python -m pytest

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

bench: $(STAMP)
	$(BIN)/python -m bench.processes --write docs/measurements.md

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity --write docs/CAPACITY.md

clean:
	rm -rf $(VENV) build *.egg-info
