#!/bin/sh
# Runs all tests. Those named in KNOWN-RED.txt may fail and are printed; any
# other failure fails the run. Each entry of the file starts with the name of
# a top-level test and its package: "TestName ./package".
set -u
GO=${GO:-go}
out=$(mktemp)
trap 'rm -f "$out"' EXIT
skip=$(sed -n 's/^\(Test[A-Za-z0-9_]*\) .*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
if [ -z "$skip" ]; then
  exec $GO test -count=1 -timeout 600s ./...
fi
echo "Known red tests (they run, and may fail):"
sed -n '/^Test/p' KNOWN-RED.txt
status=0
$GO test -count=1 -timeout 600s -skip "^($skip)\$" ./... || status=1
$GO test -count=1 -timeout 600s -run "^($skip)\$" ./... || echo "known red: still red"
exit $status
