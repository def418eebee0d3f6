#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js without dependencies; they are only checked. Run after the build command of
# deploy/system.toml, which makes target/ibisstep.js.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.mjs [0-9]*/*.mjs further/*/*.mjs; do
    node --check "$file"
done
test -f ../target/ibisstep.js || { echo "run the build command of deploy/system.toml first"; exit 1; }
echo "review: the stand-ins are ready"
