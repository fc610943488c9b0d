"""Makes the traces of this folder. The same seed gives the same files."""

import json
import os
import random

FOLDER = os.path.dirname(os.path.abspath(__file__))


def pareto(draw, least, tail, most):
    """A heavy-tailed whole number."""
    return int(min(least * draw.paretovariate(tail), most))


def arrivals(draw, seconds, rate, burst_at, burst_rate, not_repeatable, longest):
    """Requests at random times, with one burst of two seconds."""
    at, lines = 0.0, []
    while at < seconds:
        bursting = burst_at <= at < burst_at + 2
        at += draw.expovariate(burst_rate if bursting else rate)
        lines.append({"kind": "request", "at_ms": int(at * 1000), "tokens": pareto(draw, 4, 1.1, longest),
                      "not_repeatable": draw.random() < not_repeatable})
    return lines


def write(name, draw, requests, batches, faults, answered_share):
    """One file, with its stated outcome first."""
    lengths = [[pareto(draw, 10, 0.9, 500) for _ in range(size)] for size in batches]
    expect = {"kind": "expect", "requests": len(requests),
              "answered_at_least": int(len(requests) * answered_share), "samples": sum(batches)}
    lines = [expect] + requests + [{"kind": "batch", "lengths": batch} for batch in lengths]
    lines += [{"kind": "fault", "at_ms": at, "name": fault} for at, fault in faults]
    with open(os.path.join(FOLDER, name), "w", encoding="utf-8") as file:
        file.writelines(json.dumps(line) + "\n" for line in lines)


def main():
    """All traces."""
    draw = random.Random(20261202)
    write("zoekwerk-calm.jsonl", draw, arrivals(draw, 12, 25, 6, 25, 0.0, 150), [48, 48, 48], [], 1.0)
    write("zoekwerk-burst.jsonl", draw, arrivals(draw, 12, 25, 5, 200, 0.0, 150), [64, 48],
          [(4000, "crash-engine"), (7000, "fail-swap")], 0.95)
    write("strait-ferry-holds.jsonl", draw, arrivals(draw, 12, 26, 6, 26, 0.5, 60), [40, 40],
          [(3000, "kill-gateway"), (6000, "kill-ledger"), (9000, "stop-gateway")], 0.7)
    write("strait-ferry-burst.jsonl", draw, arrivals(draw, 12, 20, 4, 150, 0.4, 60), [60],
          [(4500, "kill-controller"), (5000, "freeze-gateway"), (8000, "crash-engine")], 0.5)


if __name__ == "__main__":
    main()
