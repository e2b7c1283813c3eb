#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into target/review. It needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review review/support/*.java $(ls review/[0-9]/*.java 2> /dev/null)
