#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 118 java -cp target/review SplitByCountedIds "$PWD" review/3/record.txt
