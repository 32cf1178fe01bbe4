#!/bin/sh
# Runs three fixed seeds and all seeds that once failed. Seeds that were not
# played before are run by hand with `make soak`, so that CI plays the same each
# time; docs/hunts.md records them.
set -eu
BIN=${BIN:-bin}
LENGTH=${LENGTH:-5s}
soak() { "$BIN/kingcupknot-soak" --program "$BIN/kingcupknotd" --length "$LENGTH" "$@"; }
soak --seeds 3 --seed-base 1 --lanes 2
sed -n 's/^\([0-9][0-9]*\) .*/\1/p' platform/soak/testdata/seeds.txt | while read -r seed; do
  soak --seeds 1 --seed-base "$seed"
done
