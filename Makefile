# Development tasks; `make help` lists them.
ROOT := $(CURDIR)
VENV ?= $(ROOT)/.venv
PYTHON := $(VENV)/bin/python
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(wildcard $(ROOT)/libs/*/src) $(ROOT)/platform/src)
export MYPYPATH := $(PYTHONPATH)
LIBS := $(notdir $(wildcard $(ROOT)/libs/*))
SEED ?= 1

.PHONY: help install demo test lint format measure red soak

help: ## List the targets.
	@grep -hE '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

$(VENV)/.installed: constraints.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -c constraints.txt setuptools wheel
	$(PYTHON) -m pip install -q -c constraints.txt --no-build-isolation \
		$(foreach lib,$(LIBS),-e libs/$(lib)) -e platform -r requirements-dev.txt
	touch $@

install: $(VENV)/.installed ## Set up .venv with the programs and development tools.

demo: install ## Run the demo: start one deployment and check what it does.
	$(PYTHON) -m jackdawlatch.standins demo

test: install ## Run all tests.
	$(PYTHON) tools/run_tests.py

lint: install ## Check format, style, types, imports and platform names.
	$(VENV)/bin/ruff format --check libs platform tools measure
	$(VENV)/bin/ruff check --no-cache libs platform
	$(VENV)/bin/flake8 libs platform
	$(PYTHON) tools/check_imports.py
	$(PYTHON) tools/check_platform.py
	$(VENV)/bin/mypy $(foreach lib,$(LIBS),-p jackdawlatch.$(lib)) -p jackdawlatch.platform

format: install ## Format the code.
	$(VENV)/bin/ruff format libs platform tools measure
	$(VENV)/bin/ruff check --no-cache --fix libs platform

measure: install ## Run all benchmarks and write docs/MEASURES.md.
	$(PYTHON) -m measure

red: install ## Break each guarantee in a scratch copy and check that its test fails.
	$(PYTHON) tools/show_red.py

soak: install ## Run a long randomized test under faults, e.g. make soak SEED=1.
	$(PYTHON) -m jackdawlatch.standins soak --seed $(SEED)
