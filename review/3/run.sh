#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[[ -e target/review/SplitByCountedIds.class && -e target/cypressweir.jar ]] || { echo "build the system and review/build.sh first" >&2; exit 2; }
timeout -k 5 112 java -cp target/review SplitByCountedIds "$PWD" review/3/record.txt
status=$?
[[ $status -le 1 ]] || status=2
exit $status
