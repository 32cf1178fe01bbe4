#!/bin/sh
# Stops the processes that scripts/up.sh started.
set -eu
. "$(dirname "$0")/set.sh"
stop_set
