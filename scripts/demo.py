"""Runs callers and trainers against a local fleet on loopback, optionally with a fault.

Exits with a non-zero status if a result was lost, duplicated, stale or labelled with a wrong version.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, post  # noqa: E402  pylint: disable=wrong-import-position

FAULTS = ["none", "kill-gateway", "kill-engine", "kill-controller", "kill-ledger", "swap"]


def inject_fault(fleet, fault):
    """Injects the fault and repairs it some seconds later."""
    if fault == "kill-gateway":
        print("fault: a gateway is killed", flush=True)
        Fleet.kill(fleet.gateways[0].process)
        time.sleep(3)
        fleet.start_node(fleet.gateways[0])
    elif fault == "kill-engine":
        print("fault: half of the engines are killed", flush=True)
        Fleet.kill(fleet.emulators[1])
        time.sleep(3)
        fleet.start_emulator(1)
    elif fault == "kill-controller":
        print("fault: the leading controller is killed", flush=True)
        node = fleet.leader() or fleet.controllers[0]
        Fleet.kill(node.process)
        time.sleep(3)
        fleet.start_node(node)
    elif fault == "kill-ledger":
        print("fault: a ledger is killed, and then another", flush=True)
        for node in fleet.ledgers[:2]:
            Fleet.kill(node.process)
            time.sleep(2)
            fleet.start_node(node)
            time.sleep(2)
    elif fault == "swap":
        print("fault: the next weight swap fails partway on three engines", flush=True)
        for engine, ports in [(1, 0), (2, 0), (fleet.profile["engines"], 1)]:
            post(f"http://127.0.0.1:{fleet.emulator_ports[ports]['admin']}/fail-next-swap?engine={engine}")


def main():
    """Parses the options and runs the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=["zoekwerk", "strait-ferry"], default="zoekwerk")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--report", default="report.json")
    parser.add_argument("--fault", choices=FAULTS, default="none")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="keep the processes' logs and data")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="tackpick-demo-")
    fleet = Fleet(folder, options.profile)
    load_process = None
    try:
        print(f"starting 3 controllers, 3 ledgers, 2 gateways, {fleet.profile['engines']} engines "
              f"in {', '.join(fleet.profile['zones'])}", flush=True)
        fleet.start()
        print("applying load", flush=True)
        load_process = subprocess.Popen(fleet.load_command(options.seconds, options.report, options.seed))
        if options.fault != "none":
            time.sleep(options.seconds / 4)
            inject_fault(fleet, options.fault)
        code = load_process.wait(timeout=options.seconds + 150)
        if code != 0:
            options.keep = True
        return code
    finally:
        if load_process is not None and load_process.poll() is None:
            load_process.kill()
            load_process.wait()
        fleet.stop()
        if options.keep:
            print("logs and data: " + folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
