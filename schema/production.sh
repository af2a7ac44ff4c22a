#!/usr/bin/env bash
# Copies the schemas of what passes between versions from the commit that deploy/system.toml names as production.
set -euo pipefail
cd "$(dirname "$0")/.."
commit="$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)"
for schema in common peer platform; do
	git show "$commit:schema/$schema.json" >"schema/production/$schema.json"
done
