#!/bin/sh
# Builds the stand-in that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-standin-2 .
