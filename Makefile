PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed
KNOWN_RED := $(shell sed -n 's/^test: \([^ ]*\).*/--deselect \1/p' KNOWN-RED.txt 2>/dev/null)

.PHONY: demo test lint format bench clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev,bench]'
	touch $(STAMP)

demo: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/demo.sh

test: $(STAMP)
	$(BIN)/python -m pytest -n 6 --ignore test/clients $(KNOWN_RED)
	$(BIN)/python -m pytest test/clients $(KNOWN_RED)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/bench.sh

clean:
	rm -rf .venv
