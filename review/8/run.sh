#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruptions out; TROUBLE=final leaves the primary alone.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-2/standin-2 dark ../../target/kingcupknotd record.txt
