#!/bin/sh
# Makes the .wasm files from their sources; needs npm. The results are committed, since tests run without it.
set -eu
cd "$(dirname "$0")"
for source in *.wat; do
  npx --yes --package wabt@1.0.39 wat2wasm "$source" -o "${source%.wat}.wasm"
done
