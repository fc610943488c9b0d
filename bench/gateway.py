"""Measures the throughput of one gateway process in front of fast emulated engines.

Applies caller load at increasing rates and reads the gateway's CPU time and memory from /proc and its
requests and tokens from its metrics. Prints a table for docs/BENCHMARKS.md.
"""

import argparse
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))
from fleet import Fleet  # noqa: E402  pylint: disable=wrong-import-position

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Returns the user and system CPU time of a process."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def resident_mb(pid):
    """Returns the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def metric(node, name):
    """Returns the value of a metric of a node, or 0 if it is missing."""
    with urllib.request.urlopen(f"http://127.0.0.1:{node.http_port}/metrics", timeout=5) as response:
        for line in response.read().decode().splitlines():
            if line.startswith(f"tackpick_{name} "):
                return float(line.split()[1])
    return 0


def main():
    """Runs the benchmark at each rate and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--scales", default="0,20,60,120")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="tackpick-bench-")
    flags = ["--step-us", "200", "--step-per-sequence-us", "5", "--prefill-us", "0", "--slots", "256",
             "--tokens-per-chunk", "8", "--no-run-records"]
    fleet = Fleet(folder, "zoekwerk", gateways=1, emulator_flags=flags, zone_delays=False)
    print("| offered requests/s | answered/s | tokens/s | gateway cores | requests/s per core | "
          "tokens/s per core | first token p50 ms | p99 ms | memory MB | violations |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    try:
        fleet.start()
        gateway = fleet.gateways[0]
        pid = gateway.process.pid
        for scale in [float(text) for text in options.scales.split(",")]:
            report = os.path.join(folder, "report.json")
            before = (cpu_seconds(pid), metric(gateway, "requests_answered_total"),
                      metric(gateway, "tokens_received_total"), time.monotonic())
            command = fleet.load_command(options.seconds, report, int(scale) + 1)
            subprocess.run(command + ["--scale", str(scale)], stdout=subprocess.DEVNULL, check=False,
                           timeout=options.seconds + 120)
            elapsed = time.monotonic() - before[3]
            cores = (cpu_seconds(pid) - before[0]) / elapsed
            requests = (metric(gateway, "requests_answered_total") - before[1]) / elapsed
            tokens = (metric(gateway, "tokens_received_total") - before[2]) / elapsed
            with open(report, encoding="utf-8") as file:
                load_report = json.load(file)
            print(f"| {25 * scale:.0f} | {requests:.0f} | {tokens:.0f} | {cores:.2f} | "
                  f"{requests / max(cores, 0.001):.0f} | {tokens / max(cores, 0.001):.0f} | "
                  f"{load_report['first_token_ms_p50']:.1f} | {load_report['first_token_ms_p99']:.1f} | "
                  f"{resident_mb(pid):.0f} | {load_report['promises_broken']} |", flush=True)
    finally:
        fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
