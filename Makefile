# Each target stands alone on a fresh machine: the virtual environment is made on first use.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench bench-check clean

$(STAMP): requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/lineworks-demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache .hypothesis out
