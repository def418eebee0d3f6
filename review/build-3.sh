#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
node_modules/.bin/esbuild stand-ins/platform/store.ts --bundle --platform=node --format=esm --target=node20 \
    --log-level=warning --outfile=target/review-3/store.mjs
