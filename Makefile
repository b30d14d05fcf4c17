# RapidCheck reads its seed from RC_PARAMS: fixed, so that every run gives the same verdict.
SEED ?= 20261204
BUILD := build

SOAK_SEED ?= 1
SOAK_SEEDS ?= 1
SOAK_SECONDS ?= 6
SOAK_FLAGS ?=

.PHONY: soak install build demo check bench capacity examples format format-check lint sanitize clean

install:
	scripts/install-packages.sh

build:
	cmake --preset default >/dev/null
	cmake --build $(BUILD)

demo: install build
	$(BUILD)/figpulley demo

check: install build examples
	@echo "RapidCheck seed: $(SEED)"
	RC_PARAMS="seed=$(SEED)" $(BUILD)/figpulley-tests --jobs 2

# Real processes under faults from outside; a run takes its seconds and about 45 more.
soak: build
	$(BUILD)/figpulley-soak --binary $(BUILD)/figpulley --seed $(SOAK_SEED) --seeds $(SOAK_SEEDS) --seconds $(SOAK_SECONDS) $(SOAK_FLAGS)

examples: build
	scripts/run-examples.sh $(BUILD)/figpulley

bench: build
	scripts/bench-table.sh $(BUILD)/figpulley

capacity: build
	$(BUILD)/figpulley capacity

format:
	git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format-14 -i

format-check:
	git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format-14 --dry-run --Werror

lint: build
	git ls-files -co --exclude-standard 'src/*.cpp' | xargs -P 6 -n 4 clang-tidy-14 -p $(BUILD) --quiet --extra-arg=-Wno-unknown-warning-option

sanitize:
	cmake --preset sanitize >/dev/null
	cmake --build build-sanitize
	RC_PARAMS="seed=$(SEED)" build-sanitize/figpulley-tests --jobs 2

clean:
	rm -rf $(BUILD) build-sanitize
