#!/usr/bin/env bash
# Status 0: the rule held, 1: it was broken, 2: not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec node case.mjs
