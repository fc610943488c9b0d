#!/usr/bin/env bash
# Runs the capacity benchmarks on a simulated cluster and plots the results to docs/plots/*.svg.
set -euo pipefail
cd "$(dirname "$0")/.."
data=$(mktemp -d)
trap 'rm -rf "$data"' EXIT
for benchmark in workloads ledgers ledger-group gateways changes engines; do
  build/tackpick-capacity --only "$benchmark" --data "$data"
done
plot() { # file, x label, y label, columns
  gnuplot -e "set terminal svg size 640,400; set output 'docs/plots/$1.svg'; set key off; set grid;
    set xlabel '$2'; set ylabel '$3'; plot '$data/$1.txt' using $4 with linespoints pointtype 7"
}
plot gateways 'gateways' 'controllers, % of a core (mean of 3)' 1:2
plot engines 'engines' 'gateway polling 10% of the engines, % of a core' 1:4
plot workloads 'workloads' 'snapshot, bytes' 1:2
plot ledgers 'samples' 'snapshot, bytes' 1:2
