"""Generates the traces in this folder. Deterministic."""

import json
import os
import random

FOLDER = os.path.dirname(os.path.abspath(__file__))


def pareto(draw, min_value, tail, max_value):
    """Returns a Pareto-distributed integer between min_value and max_value."""
    return int(min(min_value * draw.paretovariate(tail), max_value))


def arrivals(draw, seconds, rate, burst_at, burst_rate, not_repeatable_fraction, max_tokens):
    """Returns requests at random times, with one burst of two seconds."""
    at, lines = 0.0, []
    while at < seconds:
        bursting = burst_at <= at < burst_at + 2
        at += draw.expovariate(burst_rate if bursting else rate)
        lines.append({"kind": "request", "at_ms": int(at * 1000), "tokens": pareto(draw, 4, 1.1, max_tokens),
                      "not_repeatable": draw.random() < not_repeatable_fraction})
    return lines


def write(name, draw, requests, batches, faults, min_answered_fraction):
    """Writes one trace file; its first line is the expected outcome."""
    lengths = [[pareto(draw, 10, 0.9, 500) for _ in range(size)] for size in batches]
    expect = {"kind": "expect", "requests": len(requests),
              "answered_at_least": int(len(requests) * min_answered_fraction), "samples": sum(batches)}
    lines = [expect] + requests + [{"kind": "batch", "lengths": batch} for batch in lengths]
    lines += [{"kind": "fault", "at_ms": at, "name": fault} for at, fault in faults]
    with open(os.path.join(FOLDER, name), "w", encoding="utf-8") as file:
        file.writelines(json.dumps(line) + "\n" for line in lines)


def main():
    """Writes all traces."""
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
