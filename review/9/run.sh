#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run; TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] || exit 2
exec target/review-2 spec review/9
