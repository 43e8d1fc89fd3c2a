PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= silmalasi
DEMO_SECONDS ?= 60
FUZZ_SECONDS ?= 600
# For `make plays`: path of the platform's bench, paths of site files, options and reason.
BENCH ?=
SITES ?=
PLAYS_OPTIONS ?=
WHY ?= regression run
STAMP := $(VENV)/.installed

.PHONY: install test lint format demo bench fuzz docs plays clean

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[test,bench,docs]'
	touch $(STAMP)

install: $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest -q

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

demo: $(STAMP)
	$(BIN)/python -m demo --deployment $(DEPLOYMENT) --seconds $(DEMO_SECONDS)

bench: $(STAMP)
	$(BIN)/python -m benchmarks

plays: $(STAMP)
	$(BIN)/python deploy/plays.py --bench "$(BENCH)" --why "$(WHY)" $(PLAYS_OPTIONS) $(SITES)

fuzz: $(STAMP)
	FUZZ_SECONDS=$(FUZZ_SECONDS) $(BIN)/python -m pytest -q -m fuzz

docs: $(STAMP)
	$(BIN)/python -m sphinx -W -b html docs docs/_build/html
	$(BIN)/python -m sphinx -W -b linkcheck docs docs/_build/linkcheck

clean:
	rm -rf docs/_build .pytest_cache .ruff_cache
