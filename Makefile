PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test check format prove replay

setup: $(VENV)/ready $(BIN)/waxwingglade-start

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $(VENV)/ready

# Starts processes in tests as on the platform.
$(BIN)/waxwingglade-start: $(VENV)/ready deploy/starter.c deploy/build_starter.py
	$(BIN)/python deploy/build_starter.py $@

demo: setup
	$(BIN)/waxwingglade demo

# The long form of the proof; failing runs are kept in runs/.
SEEDS ?= 20
FIRST ?= 1
ROUNDS ?= 6

prove: setup
	$(BIN)/python -m tests.prove seeds --count $(SEEDS) --first $(FIRST) --rounds $(ROUNDS)
	$(BIN)/python -m tests.prove planted

replay: setup
	$(BIN)/python -m tests.prove replay $(SEED) --rounds $(ROUNDS)

check: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

test: check
	$(BIN)/python -m tests.run

format: setup
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/black --quiet .
