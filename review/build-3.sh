#!/usr/bin/env bash
# The stand-ins of this review's scripts are plain JavaScript: there is nothing to build, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 9/*.mjs 10/*.mjs 11/*.mjs 12/*.mjs; do
    node --check "$file"
done
