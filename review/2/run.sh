#!/usr/bin/env bash
# Runs the case "advice": exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. KEEP_LOGS=1 keeps the daemons' logs and prints their folder.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/galenamoor ] && [ -x target/review-standin ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -record review/2/record.txt -trouble=$trouble advice
