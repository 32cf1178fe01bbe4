#!/bin/sh
# Stops what scripts/up.sh started.
set -eu
. "$(dirname "$0")/set.sh"
stop_set
