"""Measures one gateway process in front of fast emulated engines: what a core carries.

Offers callers' load at rising rates, and reads processor time and memory of the gateway from the
kernel and requests and tokens from its metrics. Prints a table for docs/BENCHMARKS.md.
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

TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """User and system time of a process."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_megabytes(pid):
    """Resident memory of a process."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def metric(node, name):
    """One value of a node's metrics."""
    with urllib.request.urlopen(f"http://127.0.0.1:{node.http}/metrics", timeout=5) as answer:
        for line in answer.read().decode().splitlines():
            if line.startswith(f"tackpick_{name} "):
                return float(line.split()[1])
    return 0


def main():
    """Runs the rates and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--scales", default="0,20,60,120")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="tackpick-bench-")
    flags = ["--step-us", "200", "--step-per-sequence-us", "5", "--prefill-us", "0", "--slots", "256",
             "--tokens-per-chunk", "8", "--no-run-records"]
    fleet = Fleet(folder, "zoekwerk", gateways=1, emulator_flags=flags, zone_delays=False)
    print("| offered requests/s | answered/s | tokens/s | gateway cores | requests/s a core | "
          "tokens/s a core | first token p50 ms | p99 ms | memory MB | broken |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    try:
        fleet.start()
        gateway = fleet.gateways[0]
        pid = gateway.process.pid
        for scale in [float(text) for text in options.scales.split(",")]:
            report = os.path.join(folder, "report.json")
            before = (processor_seconds(pid), metric(gateway, "requests_answered_total"),
                      metric(gateway, "tokens_received_total"), time.monotonic())
            command = fleet.load_command(options.seconds, report, int(scale) + 1)
            subprocess.run(command + ["--scale", str(scale)], stdout=subprocess.DEVNULL, check=False,
                           timeout=options.seconds + 120)
            spent = time.monotonic() - before[3]
            cores = (processor_seconds(pid) - before[0]) / spent
            requests = (metric(gateway, "requests_answered_total") - before[1]) / spent
            tokens = (metric(gateway, "tokens_received_total") - before[2]) / spent
            with open(report, encoding="utf-8") as file:
                seen = json.load(file)
            print(f"| {25 * scale:.0f} | {requests:.0f} | {tokens:.0f} | {cores:.2f} | "
                  f"{requests / max(cores, 0.001):.0f} | {tokens / max(cores, 0.001):.0f} | "
                  f"{seen['first_token_ms_p50']:.1f} | {seen['first_token_ms_p99']:.1f} | "
                  f"{resident_megabytes(pid):.0f} | {seen['promises_broken']} |", flush=True)
    finally:
        fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
