PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Processes that share the tests, most of which wait.
WORKERS := 4
READY := $(VENV)/.ready

.PHONY: run test bench bench-calm soak format

run: $(READY)
	$(BIN)/pimento-bench run mixed --deployment prairie-pall --scale small --seed 1

test: $(READY)
	$(BIN)/ruff format --check src tests benchmarks
	$(BIN)/ruff check src tests benchmarks
	$(BIN)/mypy
	$(BIN)/pytest -m "not alone" --numprocesses $(WORKERS) --dist worksteal
	$(BIN)/pytest -m alone

bench: $(READY)
	$(BIN)/pytest benchmarks

bench-calm: $(READY)
	$(BIN)/pimento-bench soak --faults none --seconds 20

soak: $(READY)
	$(BIN)/pimento-bench soak --runs 10 --seconds 20 --seed $${SEED:-1}

format: $(READY)
	$(BIN)/ruff check --fix src tests benchmarks
	$(BIN)/ruff format src tests benchmarks

$(READY): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(READY)
