#!/bin/sh
# Builds the stand-ins of the third review into target/review-3/.
cd "$(dirname "$0")/.." && mkdir -p target/review-3 && go build -o target/review-3/ ./review/standin-3
