"""Not a case: a heartbeat of an incarnation that was never registered removes a live sampler.

Usage as review/N/run.sh: exit code 1 if the batch job was not run, 0 if it was, 2 if it could not
run; TROUBLE=0 sends no late heartbeat.
"""
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import harness as h

HOST = "trainer.example"
PREFIX = "/rollouts/"
JOB = "7c41e09b52d6a3f8"


def play(record, trouble):
    cluster = h.Cluster(record, controllers=5, ledgers=3, gateways=2)
    farm = h.Farm(cluster, record)
    try:
        return judge(cluster, farm, record, trouble)
    finally:
        farm.close()
        cluster.close()


def judge(cluster, farm, record, trouble):
    samplers = [farm.add("engines", "m0") for _ in range(2)]
    cluster.start()
    farm.start()
    cluster.wait_until_formed(h.configuration(
        1, [h.route("rollouts", HOST, PREFIX, "engines")], [h.engine_service("engines", "m0")]))
    time.sleep(4)
    if trouble:
        # Each sampler had crashed once just after its start; the heartbeat of that start was held up.
        for number, sampler in enumerate(samplers):
            beat = sampler.beat()
            beat["sequence"] = 1
            status, _, _ = cluster.control_call("POST", "/Instances.Heartbeat/i-0000000%d" % number,
                                                beat)
            record("late heartbeat of i-0000000%d at %s:%d: %d"
                   % (number, sampler.address, sampler.port, status))
    time.sleep(4)
    if cluster.submit(HOST, PREFIX, JOB, h.batch_job(PREFIX, "m0", items=8, groups=2)) is None:
        raise h.CannotRun("the batch job was not accepted")
    results = []
    until = time.monotonic() + 30
    while time.monotonic() < until and len(results) < 8:
        status, document, _ = cluster.read_job(HOST, JOB, len(results), quiet=True)
        if status == 200:
            results += document["results"]
        time.sleep(0.4)
    record("%d of 8 items listed, %d runs at the samplers"
           % (len(results), sum(len(sampler.runs) for sampler in samplers)))
    return len(results) < 8


h.run_case(HERE, play, "late_heartbeat.txt")
