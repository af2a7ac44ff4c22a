.PHONY: build tools generate format lint test

build:
	go build -o .bin/ ./cmd/... ./standin/...

tools:
	cd tools && GOWORK=off GOBIN=$(CURDIR)/.bin go install tool

generate: tools
	schema/generate.sh

format:
	gofmt -w $$(git ls-files '*.go')

lint: tools
	.ci/lint

test: build
	go test -race ./... ./standin/...

DEPLOYMENT ?= kelani
SEED ?= 1
DURATION ?= 30s
.PHONY: up demo soak

up: build
	.bin/standin-lab up $(DEPLOYMENT)

demo: build
	.bin/standin-lab demo

soak: build
	.bin/standin-lab soak --seeds $(SEED) --duration $(DURATION)

PART ?=
.PHONY: capacity

capacity: build
	.bin/standin-lab capacity --part "$(PART)"
