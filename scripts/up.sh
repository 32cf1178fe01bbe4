#!/bin/sh
# Starts the set of processes and leaves it running.
set -eu
. "$(dirname "$0")/set.sh"
start_set
echo "Up. Connect with: psql -h 127.0.0.1 -p 7511 orders"
echo "Look at it with:  $BIN/kingcupknot status"
