VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: install format lint test demo bench binary clean

$(STAMP): requirements.lock requirements-tools.lock pyproject.toml
	python3.11 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		-r requirements.lock -r requirements-tools.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

install: $(STAMP)

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

test: $(STAMP)
	$(PYTHON) -m tests.run_all

demo: $(STAMP)
	$(PYTHON) -m testbed.demo

bench: $(STAMP)
	$(PYTHON) -m testbed.bench

binary: $(STAMP)
	$(PYTHON) -m tools.build_binary

clean:
	rm -rf $(VENV) build *.egg-info src/*.egg-info
