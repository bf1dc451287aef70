# build: the environment that run needs; test, lint: also the tools for them; run: one controller
VENV ?= .venv
PYTHON ?= $(VENV)/bin/python

.PHONY: build dev test lint run check
build:
	cmp -s requirements.txt $(VENV)/built || (python3 -m venv $(VENV) && \
	$(VENV)/bin/pip -q install -r requirements.txt && cp requirements.txt $(VENV)/built)

dev: build
	$(VENV)/bin/pip -q install ".[dev]"

test:
	$(PYTHON) -m pytest -q

lint:
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

run:
	$(PYTHON) -B -m arrowrail $(ARGS)

check:
	$(PYTHON) -m arrowrail.config check $(FILES)
