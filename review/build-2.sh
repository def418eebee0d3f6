#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain modules for Node.js, so that they are only checked; none of the
# project's own stand-ins is started.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs ./[6-9]/*.mjs ./10/*.mjs further-2/*/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
