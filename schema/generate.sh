#!/usr/bin/env bash
# Generates the Go types of the schemas. The argument is the output file; the default is api/types.gen.go.
set -euo pipefail
cd "$(dirname "$0")/.."
out="${1:-api/types.gen.go}"
.bin/go-jsonschema --package api --only-models --extra-imports --disable-omitempty --disable-omitzero \
	--capitalization URL --capitalization ID --capitalization VM --capitalization TLS --tags json,toml \
	--output "$out" schema/*.json
gofmt -w "$out"
