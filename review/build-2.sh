#!/bin/sh
# Builds the stand-ins of the second review.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/standin-2 ./review/standin-2
