# Targets for developers. Each installs the packages that it needs and builds what it uses.
SHELL := /bin/bash
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
export CCACHE_SLOPPINESS := time_macros
JOBS ?= $(shell nproc)
CONFIGURE := cmake -S . -G Ninja

.PHONY: help packages build test format format-check lint type-names check check-sanitize demo demo-check bench package clean

help:
	@echo "make demo            build, run a daemon with embedded stand-ins, submit jobs"
	@echo "make check           install packages, build, check format and lint, run all tests and the demo"
	@echo "make check-sanitize  run all tests under address and undefined-behaviour sanitizers"
	@echo "make bench           print the measurements"
	@echo "make package         build the Debian package"

packages:
	@tools/install_packages

build: packages
	@$(CONFIGURE) -B build/release -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build build/release -j $(JOBS)

test: build
	@ctest --test-dir build/release --output-on-failure -j $(JOBS)
	@grep '^test: ' KNOWN-RED.txt | sed 's/^test: /not run, known red: /' || true

format:
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs -r clang-format -i

format-check: packages
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs -r clang-format --dry-run -Werror
	@echo "format: clean"

# Uses the compile commands of the release build; needs no build of its own.
lint: packages
	@$(CONFIGURE) -B build/release -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@git ls-files -co --exclude-standard '*.cpp' | xargs -r -P $(JOBS) -n 1 clang-tidy --quiet -p build/release
	@echo "lint: clean"

# Prints only the result unless a step fails.
demo-check: build
	@tools/demo build/release >build/demo.log || { cat build/demo.log; exit 1; }
	@tail -n 1 build/demo.log

type-names:
	@tools/check_type_names

check: format-check type-names lint test demo-check

check-sanitize: packages
	@$(CONFIGURE) -B build/sanitize -DCMAKE_BUILD_TYPE=Debug -DCACTUSLOOM_SANITIZE=ON >/dev/null
	@cmake --build build/sanitize -j $(JOBS)
	@ctest --test-dir build/sanitize --output-on-failure -j $(JOBS)

demo: build
	@tools/demo build/release

bench: build
	@tools/bench build/release

package: build
	@cd build/release && cpack -G DEB

clean:
	@rm -rf build
