#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. The daemons are built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/stand-3
