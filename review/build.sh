#!/bin/sh
# Builds the stand-ins of the cases. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -o ../../target/review-standin .
