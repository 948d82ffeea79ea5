# Shortcuts for building, testing, linting and running; CMake does the work.
CONFIG ?= $(BALANCER_CONFIG)
JOBS ?= 4

.PHONY: build test lint tidy run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

test:
	cmake -B build-test -DCMAKE_BUILD_TYPE=Debug -DHERONWELL_TESTS=ON -DHERONWELL_STRICT=ON -DHERONWELL_SANITIZE=ON
	cmake --build build-test -j$(JOBS)
	tests/run.sh build-test $(JOBS)

lint:
	find src include tests -name '*.[ch]pp' | xargs clang-format --dry-run --Werror

# Needs the compile commands that `make test` writes to build-test.
tidy:
	find src -name '*.cpp' | xargs -P $(JOBS) -n 1 clang-tidy -p build-test --quiet --extra-arg=-Wno-unknown-warning-option

run: build
	build/bellstair serve --config "$(CONFIG)"

clean:
	rm -rf build build-test build-embed
