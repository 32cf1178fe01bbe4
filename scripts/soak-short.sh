#!/bin/sh
# Two fixed seeds, each seed that ever failed, and one fresh seed.
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
