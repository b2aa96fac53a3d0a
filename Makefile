.PHONY: install build test demo bench format lint

install:
	scripts/install-deps

build: install
	scripts/build release

test: build
	scripts/test

demo: build
	scripts/demo

bench: build
	scripts/bench

format:
	scripts/format

lint:
	scripts/lint
