#!/bin/sh
# Runs this case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same
# without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_COMMAND
program=build-review-2/case-$(basename "$here")
[ -x "$program" ] || { echo "$program is missing: run review/build-2.sh" >&2; exit 2; }
exec "$program" "$here"
