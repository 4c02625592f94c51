#!/usr/bin/env bash
# Draws the slopes of docs/measurements/capacity.txt as SVG.
set -euo pipefail
cd "$(dirname "$0")/../docs/measurements"
data="$(mktemp -d)"
trap 'rm -r "$data"' EXIT

# points LINE_START: the "size:value" pairs of one line, as two columns.
points()
{
    grep -F "$1" capacity.txt | head -n 1 | sed 's/.* at //' | tr ' ' '\n' | tr ':' ' '
}

points 'core part / daemons' >"$data/core_daemons"
points 'core part / requests/s a daemon' >"$data/core_requests"
points 'bytes sent per s / daemons' >"$data/bytes_daemons"
points 'bytes sent per s / requests/s a daemon' >"$data/bytes_requests"
gnuplot <<GNUPLOT
set terminal svg size 900,360 font "sans,11"
set output "capacity.svg"
set multiplot layout 1,2
set key top left
set xlabel "daemons of a data centre, or requests/s a daemon"
set ylabel "core, part of one (allowed 0.042)"
plot "$data/core_daemons" with linespoints title "daemons", "$data/core_requests" with linespoints title "requests/s"
set ylabel "bytes sent a second (allowed 14000)"
plot "$data/bytes_daemons" with linespoints title "daemons", "$data/bytes_requests" with linespoints title "requests/s"
unset multiplot
GNUPLOT
