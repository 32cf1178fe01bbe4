#!/bin/sh
# Runs two fixed seeds, all seeds that once failed, and one new seed.
set -eu
BIN=${BIN:-bin}
LENGTH=${LENGTH:-5s}
soak() { "$BIN/kingcupknot-soak" --program "$BIN/kingcupknotd" --length "$LENGTH" "$@"; }
soak --seeds 2 --seed-base 1 --lanes 2
sed -n 's/^\([0-9][0-9]*\) .*/\1/p' platform/soak/testdata/seeds.txt | while read -r seed; do
  soak --seeds 1 --seed-base "$seed"
done
fresh=$(($(date +%s) % 1000000 + 1000))
soak --seeds 1 --seed-base "$fresh"
