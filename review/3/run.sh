#!/bin/sh
# Plays the case that claim.txt describes. Exit code 1: the rule was broken, 0: it
# held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/kingcupknotd ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec target/review/standin --case heartbeat --record review/3/record.txt
