"""One event with wrong bytes from one sampler ends every gateway that reads the batch job."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import harness as h

HOST = "trainer.example"
PREFIX = "/rollouts/"
JOB = "7c41e09b52d6a3f8"
ITEMS = 12


def play(record, trouble):
    cluster = h.Cluster(record, controllers=3, ledgers=3, gateways=3)
    farm = h.Farm(cluster, record)
    try:
        return judge(cluster, farm, record, trouble)
    finally:
        farm.close()
        cluster.close()


def keep_running(cluster, record, ends):
    """The platform: starts a process again that has ended."""
    while not cluster.stopping:
        for machine in list(cluster.machines):
            if machine.process is not None and not machine.running() and not cluster.stopping:
                ends.append(machine.name)
                record("process of %s ended by itself with code %d; it is started again"
                       % (machine.name, machine.process.returncode))
                time.sleep(0.3)
                machine.start()
        time.sleep(0.1)


def judge(cluster, farm, record, trouble):
    samplers = [farm.add("engines", "m0") for _ in range(3)]
    cluster.start()
    farm.start()
    cluster.wait_until_formed(h.configuration(
        1, [h.route("rollouts", HOST, PREFIX, "engines")], [h.engine_service("engines", "m0")]))
    ends = []
    threading.Thread(target=keep_running, args=(cluster, record, ends), daemon=True).start()
    body = h.batch_job(PREFIX, "m0", items=ITEMS, groups=3)
    spoiled = []

    def spoil(item, _run, event):
        """One byte of one event has a wrong bit; every other answer of the day is right."""
        if trouble and event == 3 and not spoiled:
            spoiled.append(item)
            text = bytearray(samplers[0].text(item, event).encode())
            text[4] |= 0x80
            return bytes(text)
        return None
    samplers[0].spoil = spoil
    if cluster.submit(HOST, PREFIX, JOB, body) is None:
        raise h.CannotRun("the batch job was not accepted")
    # Longer than the run, finishS and recoveryS together; each failed read is tried again.
    until = time.monotonic() + 45
    got = None
    while time.monotonic() < until and got is None:
        status, document, _ = cluster.read_job(HOST, JOB)
        if status == 200 and len(document["results"]) == ITEMS:
            got = document["results"]
        time.sleep(0.5)
    if trouble and not spoiled:
        raise h.CannotRun("no event was spoiled")
    record("processes that ended by themselves: %d %s" % (len(ends), sorted(set(ends))))
    if got is None:
        record("the batch job was accepted, yet it cannot be read")
    return got is None


h.run_case(HERE, play)
