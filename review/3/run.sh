#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
case=$here/../bin/case-$(basename "$here")
[ -x "$case" ] && [ -x "$here/../../build/bellstair" ] || exit 2
exec "$case" "$(cd "$here/../.." && pwd)" "$here/record.txt"
