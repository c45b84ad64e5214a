#!/usr/bin/env bash
# The stand-ins of cases 4 to 7 are plain JavaScript without dependencies: nothing is compiled, their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-7]/*.mjs; do
    node --check "$file"
done
