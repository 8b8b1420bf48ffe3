# Another environment can be named: make test VENV=/path/to/venv
VENV ?= .venv
PYTHON ?= python3
export PYTHONPATH := $(CURDIR)/src
BIN := $(VENV)/bin

.PHONY: venv test lint format types imports demo clean

venv: $(BIN)/godwit-dev

$(BIN)/godwit-dev: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -e '.[test]'
	touch $@

test: venv
	$(BIN)/python -m pytest -n 6 --dist worksteal tests

lint: venv
	$(BIN)/ruff format --check src tests benchmarks
	$(BIN)/ruff check src tests benchmarks

format: venv
	$(BIN)/ruff format src tests benchmarks
	$(BIN)/ruff check --fix src tests benchmarks

types: venv
	$(BIN)/mypy

imports: venv
	$(BIN)/lint-imports

demo: venv
	$(BIN)/godwit-dev
