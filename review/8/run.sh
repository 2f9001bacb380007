#!/usr/bin/env bash
# Runs this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/boragering-platform.jar ] && [ -f target/review-2/review2/ConfigStorms.class ] || exit 2
timeout 110 java -cp target/review-2 review2.ConfigStorms review/8
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
