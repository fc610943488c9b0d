"""Not a case: items held by chance, whose trial is spent by a gateway that is killed.

Usage as review/N/run.sh: exit code 1 if LOST was broken, 0 if it held, 2 if it could not run;
TROUBLE=0 kills no gateway.
"""
import asyncio
import json
import os
import random
import socket
import struct
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import harness as h

HOST = "trainer.example"
PREFIX = "/rollouts/"
JOBS = ["7c41e09b52d6a3f8", "7c41e09b52d6a3f9"]
DEADLINE_S = 12  # of the kinds query-rewrite and snippet-summary


class CrashingSampler(h.Sampler):
    """A sampler that can crash; its next start has a new identifier."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.writers = set()
        self.down = False

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().connection(reader, writer)
        finally:
            self.writers.discard(writer)

    async def crash(self, seconds):
        self.down = True
        self.server.close()
        for writer in list(self.writers):
            connection = writer.transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        await asyncio.sleep(seconds)
        self.id = "i-%08x" % random.getrandbits(32)
        self.sequence = 0
        self.fence = 0
        self.beat_at = None
        await self.serve()
        self.down = False


class CrashingFarm(h.Farm):
    def send_beat(self, sampler):
        if not sampler.down:
            super().send_beat(sampler)


h.Sampler = CrashingSampler


def held(cluster):
    for machine in cluster.of("controller"):
        try:
            status, body, _ = h.call(machine.address, cluster.control, "GET", "/v1/quarantine")
        except OSError:
            continue
        if status == 200:
            return len(json.loads(body)["held"])
    return 0


def play(record, trouble):
    cluster = h.Cluster(record, controllers=5, ledgers=3, gateways=3)
    farm = CrashingFarm(cluster, record)
    try:
        return judge(cluster, farm, record, trouble)
    finally:
        farm.close()
        cluster.close()


def read_until(cluster, job, total, until):
    listed = []
    while time.monotonic() < until and len(listed) < total:
        status, document, _ = cluster.read_job(HOST, job, len(listed), quiet=True)
        if status == 200:
            listed += document["results"]
        time.sleep(0.4)
    return {result["identifier"] for result in listed}


def judge(cluster, farm, record, trouble):
    samplers = [farm.add("engines", "m0", events=200, gap=0.03) for _ in range(3)]
    cluster.start()
    farm.start()
    cluster.wait_until_formed(h.configuration(
        1, [h.route("rollouts", HOST, PREFIX, "engines")], [h.engine_service("engines", "m0")]))
    time.sleep(3)
    first = h.batch_job(PREFIX, "m0", items=12, groups=3)
    if cluster.submit(HOST, PREFIX, JOBS[0], first) is None:
        raise h.CannotRun("the batch job was not accepted")
    begin = time.monotonic()
    time.sleep(0.8)
    for turn in range(8):
        if held(cluster):
            break
        record("sampler %s crashes" % samplers[turn % 3].id)
        asyncio.run_coroutine_threadsafe(samplers[turn % 3].crash(0.5), farm.loop)
        time.sleep(1.0)
    if not held(cluster):
        raise h.CannotRun("no item was held")
    record("%d items are held" % held(cluster))
    while trouble and time.monotonic() < begin + DEADLINE_S:
        begun = [m for m in cluster.of("gateway") if "trial_begun" in m.log_text()]
        if begun:
            begun[0].kill()
            record("killed %s, which was granted the trial" % begun[0].name)
            time.sleep(0.3)
            begun[0].start()
            break
        time.sleep(0.003)
    done = read_until(cluster, JOBS[0], 12, begin + DEADLINE_S)
    cluster.front_call(cluster.of("gateway")[1], "DELETE", "/lots/" + JOBS[0], HOST)
    record("the first step ends with %d of 12 items listed" % len(done))
    cluster.control_call("POST", "/version-put", {"model": "m0", "version": 2})
    # The groups that were not whole come again, first; new ones follow.
    again = [item for item in first["items"] if item["group"] in
             {other["group"] for other in first["items"] if other["identifier"] not in done}]
    second = h.batch_job(PREFIX, "m0", items=8, groups=2, step=1)
    for item in second["items"]:
        item["group"] = "n" + item["group"]
    second["items"] = again + second["items"]
    begin = time.monotonic()
    if cluster.submit(HOST, PREFIX, JOBS[1], second) is None:
        raise h.CannotRun("the second batch job was not accepted")
    done = read_until(cluster, JOBS[1], len(second["items"]), begin + DEADLINE_S)
    runs = {item for sampler in samplers for at, item, _ in sampler.runs if at > begin}
    missing = [item["identifier"] for item in second["items"]
               if item["identifier"] not in done and item["identifier"] not in runs]
    record("the second step ends with %d of %d items listed; at no sampler during its %d s: %d, "
           "others had begun: %d" % (len(done), len(second["items"]), DEADLINE_S, len(missing),
                                     len(runs)))
    return bool(missing and runs)


h.run_case(HERE, play, "held_item.txt")
