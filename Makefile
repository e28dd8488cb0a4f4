VENV := .venv
PY := $(VENV)/bin/python
DEV := $(VENV)/.dev-installed
BENCH := $(VENV)/.bench-installed
SEED ?= 1
RUNS ?= 1

.PHONY: demo test lint types bench bench-hosted bench-replicas bench-requests bench-spread bench-capacity rough soak process-soak wire clean

$(PY):
	python3 -m venv $(VENV)

$(DEV): pyproject.toml | $(PY)
	$(PY) -m pip install --quiet --editable '.[dev]'
	touch $@

$(BENCH): $(DEV)
	$(PY) -m pip install --quiet --editable '.[dev,bench]'
	touch $@

demo: $(DEV)
	bash samples/demo.sh $(VENV)/bin

rough: $(DEV)
	bash samples/demo.sh $(VENV)/bin --rough

lint: $(DEV)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

types: $(DEV)
	$(VENV)/bin/mypy

test: lint types
	$(PY) -m tests.run

soak: $(DEV)
	$(PY) -m tests.soak --seed $(SEED)

process-soak: $(DEV)
	$(PY) -m tests.process_soak --seed $(SEED) --runs $(RUNS)

bench: $(BENCH)
	bash bench/relay.sh $(VENV)/bin

bench-requests: $(BENCH)
	$(PY) -m bench.requests

bench-capacity: $(BENCH)
	bash bench/capacity.sh $(VENV)/bin

bench-spread: $(BENCH)
	$(PY) -m bench.spread

bench-hosted: $(DEV)
	$(PY) -m bench.hosted

bench-replicas: $(BENCH)
	$(PY) -m bench.replicas

wire: $(DEV)
	$(PY) -m grpc_tools.protoc -I . --python_out=. --pyi_out=. \
	  --grpc_python_out=. tamarackpier/wire/crash.proto \
	  tamarackpier/wire/peer.proto tamarackpier/wire/entry.proto \
	  tamarackpier/wire/carriage.proto

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache build *.egg-info
