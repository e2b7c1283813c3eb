#!/bin/sh
# Compiles the examples; needs npm. Results go where the tests read them and are committed.
set -eu
cd "$(dirname "$0")"
for name in mark-pay log-header; do
  npx --yes --package assemblyscript@0.28.9 asc "$name.ts" --runtime stub --use abort= -O \
    --initialMemory 2 --maximumMemory 32 -o "../../src/test/resources/plugins/as-$name.wasm"
done
