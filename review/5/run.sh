#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
for built in target/cypressweir.jar target/review-2/LastServer.class; do
    [[ -r "$built" ]] || { echo "$built is missing: run the build line of deploy/system.toml and review/build-2.sh" >&2; exit 2; }
done
exec java -Xmx256m -cp target/review-2 LastServer "$here"
