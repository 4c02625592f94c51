# Front door of the build; each target does its own set-up.
BUILD := build

.PHONY: all setup build test fuzz demo tour latency capacity growth plots check format lint generate clean

all: build

setup:
	@scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

fuzz: build
	@scripts/fuzz.sh

test: build
	@ctest --test-dir $(BUILD) --output-on-failure

tour: build
	@scripts/tour.sh

latency: build
	@scripts/latency.sh

capacity: build
	@$(BUILD)/bin/capacity

growth: build
	@$(BUILD)/bin/growth

demo: build
	@scripts/demo.sh

check: build
	@scripts/check-format.sh
	@scripts/check-generated.sh
	@scripts/check-platform-names.sh
	@scripts/check-lint.sh

format:
	@git ls-files '*.h' '*.cpp' | grep -v generated | xargs clang-format -i

generate:
	@scripts/generate.sh

clean:
	@cmake --build $(BUILD) --target clean

plots:
	@scripts/plots.sh
