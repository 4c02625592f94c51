#!/usr/bin/env bash
# Draws the output of "eelgrassnotchctl losses -o csv" as SVG: requests of each second by what became of them.
# Usage: plot-losses.sh FILE.csv FILE.svg
set -euo pipefail
csv="$1"
svg="$2"
columns="$(head -n 1 "$csv" | tr ',' '\n' | wc -l)"
gnuplot <<GNUPLOT
set terminal svg size 1000,420 font "sans,11"
set output "$svg"
set datafile separator ","
set key outside right
set style data histograms
set style histogram rowstacked
set style fill solid 0.9
set boxwidth 1
set xlabel "second"
set ylabel "requests"
set xtics 0,5
set format x "%g"
plot for [column=2:$columns] "$csv" using column title columnheader(column)
GNUPLOT
