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
