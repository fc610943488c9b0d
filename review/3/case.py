"""A gateway that has not yet the newest configuration gives up the items of a new route."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import harness as h

HOST = "trainer.example"
OLD = "/rollouts/"
NEW = "/drafts/"
JOB = "7c41e09b52d6a3f8"
ITEMS = 120
SLOTS = 16
FREEZE_S = 3.2


def play(record, trouble):
    cluster = h.Cluster(record, controllers=5, ledgers=3, gateways=3)
    farm = h.Farm(cluster, record)
    try:
        return judge(cluster, farm, record, trouble)
    finally:
        farm.close()
        cluster.close()


def judge(cluster, farm, record, trouble):
    for _ in range(9):
        farm.add("engines", "m0", slots=SLOTS)
    cluster.start()
    farm.start()
    services = [h.engine_service("engines", "m0", SLOTS)]
    routes = [h.route("rollouts", HOST, OLD, "engines")]
    cluster.wait_until_formed(h.configuration(1, routes, services))
    time.sleep(4)
    first, frozen, _ = cluster.of("gateway")
    if trouble:
        frozen.freeze()
        record("froze %s" % frozen.name)
    time.sleep(FREEZE_S - 1.0)
    routes.append(h.route("drafts", HOST, NEW, "engines"))
    status, _, _ = cluster.control_call("POST", "/Configuration.Replace",
                                        h.configuration(2, routes, services), 10)
    if status != 200:
        raise h.CannotRun("the change was not acknowledged")
    record("the configuration with the new route is acknowledged")
    time.sleep(1.0)
    body = h.batch_job(NEW, "m0", items=ITEMS, groups=15)
    if cluster.submit(HOST, NEW, JOB, body, machines=[first]) is None:
        raise h.CannotRun("the batch job was not accepted")
    if trouble:
        frozen.thaw()
        record("thawed %s" % frozen.name)
    accepted = time.monotonic()
    results = []
    until = accepted + 30
    while time.monotonic() < until and len(results) < ITEMS:
        status, document, _ = cluster.read_job(HOST, JOB, len(results))
        if status == 200:
            results += document["results"]
        time.sleep(0.4)
    runs = {item for sampler in farm.samplers for _, item, _ in sampler.runs}
    given_up = [r["identifier"] for r in results if r["state"] == "terminated"]
    never_run = [item for item in given_up if item not in runs]
    record("results: %d of %d; given up within %.1f s: %d, of them never sent to a sampler: %d"
           % (len(results), ITEMS, time.monotonic() - accepted, len(given_up), len(never_run)))
    for machine in cluster.of("gateway"):
        count = machine.log_text().count("item_given_up")
        if count:
            record("%s gave up %d items" % (machine.name, count))
    return bool(given_up)


h.run_case(HERE, play)
