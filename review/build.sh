#!/bin/sh
# Builds the stand-ins of the cases. Run it in the root of the repository or anywhere else.
set -e
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off go build -o ../target/review-standin ./standin
