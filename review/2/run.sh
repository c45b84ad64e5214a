#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/cactusrack-node.cjs ] || { echo "build by the deploy file first" >&2; exit 2; }
exec timeout --preserve-status --kill-after=3 115 node scenario.mjs
