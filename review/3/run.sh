#!/bin/sh
# Runs the case once. Exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 the disruption is left out. record.txt gets what was sent, answered and run.
cd "$(dirname "$0")" || exit 2
REVIEW_ROOT=../..
[ -x ../../target/review-standin ] && [ -x ../../target/shallotd ] || { echo "cannot run: build first"; exit 2; }
export REVIEW_ROOT
exec ../../target/review-standin cut-watch record.txt
