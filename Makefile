# build: create the environment that run needs; dev: add the tools that test and lint need; run: start one
# controller
VENV ?= .venv
PYTHON ?= $(VENV)/bin/python

FOLDER ?= deploy/sidecar

.PHONY: build dev test lint run check bench
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
	$(VENV)/bin/lint-imports --no-cache

run:
	$(PYTHON) -B -m arrowrail $(ARGS)

check:
	$(PYTHON) -m arrowrail config check $(FOLDER)

# Takes some minutes on an otherwise idle machine; BEFORE is a commit to compare the memory of a controller
# without a sidecar with
bench:
	$(PYTHON) -m arrowrail bench $(if $(BEFORE),--before $(BEFORE))
