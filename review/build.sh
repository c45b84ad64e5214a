#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies, so there is nothing to compile: this checks that each one loads.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
    node --check "$file"
done
echo "the stand-ins are ready"
