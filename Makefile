.PHONY: build tools generate production-schema format lint test

build:
	go build -o .bin/ ./cmd/... ./standin/...

tools:
	cd tools && GOWORK=off GOBIN=$(CURDIR)/.bin go install tool

generate: tools
	schema/generate.sh

production-schema:
	schema/production.sh

format:
	gofmt -w $$(git ls-files '*.go')

lint: tools
	.ci/lint

test: build
	go test -race ./... ./standin/...

DEPLOYMENT ?= kelani
SEED ?= 1
DURATION ?= 30s
PARTS ?=
.PHONY: up demo soak bench

up: build
	.bin/standin-lab up $(DEPLOYMENT)

demo: build
	.bin/standin-lab demo

soak: build
	.bin/standin-lab soak --seeds $(SEED) --duration $(DURATION)

bench: build
	.bin/standin-lab --network 121 bench $(if $(PARTS),--only $(PARTS))

NETWORK ?= 160
PART ?=
.PHONY: capacity

capacity: build
	.bin/standin-lab --network $(NETWORK) capacity --part "$(PART)"
