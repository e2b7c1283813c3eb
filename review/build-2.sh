#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8; run it after the build line of deploy/system.toml, in any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/support-2/*.java
