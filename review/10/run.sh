#!/bin/sh
# Runs the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
REVIEW_ROOT=$(cd "$here/../.." && pwd) || exit 2
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_ROOT REVIEW_FOLDER
program="$REVIEW_ROOT/target/review-2/release/corkspan-review-2"
code=2
if [ -x "$program" ]; then
    "$program" evicted-owner "$here/record.txt" &
    # The dispatchers end with the program that has started them.
    trap 'kill "$!"; rm -rf "$REVIEW_FOLDER"; exit 2' HUP INT TERM
    wait "$!"
    code=$?
fi
rm -rf "$REVIEW_FOLDER"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
