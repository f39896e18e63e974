# `make demo` and `make test` do all that a fresh machine needs. SEED and RUNS apply to `make soak`.
BUILD ?= build
SANITIZED ?= build-sanitized
SEED ?= 1
RUNS ?= 2000
SOURCES = $(shell find include src platform test bench -name '*.h' -o -name '*.cc')
UNITS = $(shell find src platform test bench -name '*.cc')

.PHONY: install build test test-sanitized demo measure soak format format-check lint clean

install:
	@.ci/install

build: install
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: build
	@.ci/known-red $(BUILD)

test-sanitized: install
	@cmake -S . -B $(SANITIZED) -G Ninja -DFIGCLEAT_SANITIZE=ON >/dev/null
	@cmake --build $(SANITIZED)
	@.ci/known-red $(SANITIZED)

demo: build
	@python3 examples/demo.py --build $(BUILD)

measure: build
	@for bench in $(BUILD)/*-bench; do [ ! -x $$bench ] || $$bench measure --seed $(SEED) || exit 1; done
	@python3 bench/processes.py --build $(BUILD) --quick

soak: build
	@for bench in $(BUILD)/*-bench; do [ ! -x $$bench ] || $$bench soak --seed $(SEED) --runs $(RUNS) || exit 1; done

format:
	@clang-format -i $(SOURCES)

format-check: install
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@printf '%s\n' $(UNITS) | xargs -P 10 -n 1 clang-tidy --quiet -p $(BUILD) 2>/dev/null

clean:
	@rm -rf $(BUILD) $(SANITIZED)
