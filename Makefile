# Each target stands alone on a fresh machine: the virtual environment is made on first use.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test fuzz lint format bench bench-check bench-wire slopes clean

$(STAMP): requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/lineworks-demo

test: $(STAMP)
	$(BIN)/python -m pytest

# Property tests with other inputs in every run; `make test` draws the same ones each time.
fuzz: $(STAMP)
	$(BIN)/python -m pytest --hypothesis-profile=fuzz tests/test_foreign_entries.py \
	  tests/test_suspects.py tests/test_fingerprints.py tests/test_parts.py tests/test_routes.py \
	  tests/test_deflate.py tests/test_workspaces.py tests/test_store_answers.py

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Scenarios run six at a time; each is one process that ends by itself.
bench: $(STAMP)
	mkdir -p out/bench
	ls bench/scenarios/*.json | xargs -P 6 -I{} sh -c \
	  '$(BIN)/python -m bench --scenario {} --json out/bench/$$(basename {})'
	$(BIN)/python -m bench.check out/bench

# The short set that CI holds against bench/bounds.json; the same figures every time.
bench-check: $(STAMP)
	$(BIN)/python -m bench.check --short

# Real processes on loopback: processor time, memory and start-up of lineworks-entry.
bench-wire: $(STAMP)
	bash bench/wire.sh

# What one more of each thing costs; docs/CAPACITY.md is made from it.
slopes: $(STAMP)
	$(BIN)/python -m bench.slopes
	$(BIN)/python -m bench.platform_slopes
	$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache .hypothesis out
