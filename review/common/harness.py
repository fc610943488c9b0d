"""Stand-ins of the platform, its samplers, operator and trainer, for the scripts of this review.

Starts the daemon with the commands and the template of deploy/system.toml, each machine on its own
loopback address. Uses the Python standard library only.
"""
import asyncio
import base64
import ctypes
import http.client
import json
import os
import queue
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ["gent-a", "leuven-b", "mechelen-c"]
BEAT_MS = 1200
# Bounds of the deployment zw-tackpick, as on the users' pages.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 5.2,
    "drainMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200, "configurationMs": 2000,
    "downgradeSlackMs": 250, "outerBoundMs": 5000, "recoveryS": 12, "passMs": 120,
    "finishS": 10, "statusIntervalS": 120, "cancelMs": 3000, "settleMs": 1000,
    "requireFencing": True, "leaseMs": 3000, "thawSlackMs": 300,
}


def end_with_parent():
    """In a started process: ends it when this script ends, however that happens."""
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


class Launcher:
    """Starts processes from one thread that lives as long as this script: the signal of
    end_with_parent() comes when the thread ends that started the process."""

    def __init__(self):
        self.orders = queue.Queue()
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            arguments, done = self.orders.get()
            try:
                done.put((subprocess.Popen(preexec_fn=end_with_parent, **arguments), None))
            except OSError as error:
                done.put((None, error))

    def start(self, **arguments):
        done = queue.Queue()
        self.orders.put((arguments, done))
        process, error = done.get()
        if error is not None:
            raise error
        return process


LAUNCHER = Launcher()


class CannotRun(Exception):
    """The case could not be played; the script ends with 2."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.start, text)
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()
            if os.environ.get("VERBOSE"):
                print(line, flush=True)


# ---- the deploy file and its template -------------------------------------------------------


def read_deploy():
    """Returns the roles of the deploy file with their commands and templates."""
    roles = {}
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            section = re.match(r"\[roles\.(\w+)\]", line)
            setting = re.match(r'(run|template) *= *"(.*)"', line)
            if section:
                role = roles.setdefault(section.group(1), {})
            elif setting and roles:
                role[setting.group(1)] = setting.group(2)
    return {"roles": roles}


def lookup(name, stack):
    if name == ".":
        return stack[-1]
    for scope in reversed(stack):
        value = scope
        found = True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(text, fields):
    """Fills a template as DEPLOY.md tells."""
    tokens = re.split(r"\{\{(.*?)\}\}", text, flags=re.S)
    position = 0

    def render(stack, until, last):
        nonlocal position
        out = []
        while position < len(tokens):
            out.append(tokens[position])
            position += 1
            if position >= len(tokens):
                break
            tag = tokens[position]
            position += 1
            if tag == "/" + until if until else False:
                break
            if tag[0] in "#^":
                value = lookup(tag[1:], stack)
                begin = position
                if tag[0] == "^":
                    entries = [] if value else [stack[-1]]
                elif isinstance(value, list):
                    entries = value
                elif isinstance(value, dict):
                    entries = [value]
                else:
                    entries = [value] if value not in (None, False) else []
                if not entries:
                    render(stack + [{}], tag[1:], True)
                for index, entry in enumerate(entries):
                    position = begin
                    out.append(render(stack + [entry], tag[1:], index + 1 == len(entries)))
            elif tag == ",":
                out.append("" if last else ",")
            elif tag.endswith("|json"):
                out.append(json.dumps(lookup(tag[:-5], stack)))
            else:
                out.append(as_text(lookup(tag, stack)))
        return "".join(out)

    return render([fields], "", True)


def free_port(address, taken):
    while True:
        port = random.randint(20000, 32000)
        if port in taken:
            continue
        try:
            with socket.socket() as probe:
                probe.bind((address, port))
            taken.add(port)
            return port
        except OSError:
            continue


def claim_subnet():
    """Returns a bound socket and a loopback subnet that no other run of these scripts uses."""
    metrics_port = 9464  # fixed by the template of the deploy file
    while True:
        subnet = "127.%d" % random.randint(20, 250)
        claim = socket.socket()
        try:
            claim.bind((subnet + ".8.8", metrics_port))
            return claim, subnet
        except OSError:
            claim.close()


# ---- machines -------------------------------------------------------------------------------


class Machine:
    def __init__(self, cluster, role, zone, address):
        self.cluster = cluster
        self.role = role
        self.zone = zone
        self.address = address
        self.name = "%s-%s-%s" % (role, zone, address.split(".")[-1])
        self.folder = os.path.join(cluster.folder, self.name)
        self.data = None if role == "gateway" else os.path.join(self.folder, "data")
        self.process = None
        self.starts = 0
        os.makedirs(self.folder)

    def start(self, bootstrap=False):
        if self.data:
            os.makedirs(self.data, exist_ok=True)
        settings = os.path.join(self.folder, "node.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(fill(self.cluster.templates[self.role],
                            self.cluster.fields(self, bootstrap)))
        words = self.cluster.deploy["roles"][self.role]["run"].split()
        program = os.path.join(ROOT, words[0])
        if not os.path.exists(program):
            program = os.path.join(ROOT, "build", os.path.basename(words[0]))
        if not os.path.exists(program):
            raise CannotRun("no daemon: build it with the command of deploy/system.toml")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["TACKPICK_CONFIG"] = settings
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = LAUNCHER.start(args=[program] + words[1:], cwd=ROOT, env=environment,
                                      stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.starts += 1

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def log_text(self):
        with open(os.path.join(self.folder, "log"), "rb") as file:
            return file.read().decode("utf-8", "replace")

    def metric(self, line):
        """Whether the machine's figures contain this line."""
        try:
            status, body, _ = call(self.address, 9464, "GET", "/metrics", timeout=0.5)
        except OSError:
            return False
        return status == 200 and ("\n" + line + "\n") in body.decode()

    def leads(self):
        return self.running() and self.metric("tackpick_leader 1")


class Cluster:
    def __init__(self, record, controllers=5, ledgers=3, gateways=2):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="tackpick-review-")
        self.deploy = read_deploy()
        self.templates = {}
        for role, entry in self.deploy["roles"].items():
            with open(os.path.join(ROOT, entry["template"]), encoding="utf-8") as file:
                self.templates[role] = file.read()
        self.claim, self.subnet = claim_subnet()
        taken = set()
        probe = self.subnet + ".1.1"
        self.internal = free_port(probe, taken)
        self.front = free_port(probe, taken)
        self.ready = free_port(probe, taken)
        self.control = free_port(probe, taken)
        self.machines = []
        self.count = {"controller": 0, "ledger": 0, "gateway": 0}
        for role, number in (("controller", controllers), ("ledger", ledgers),
                             ("gateway", gateways)):
            for _ in range(number):
                self.add(role)
        self.seeds = ["%s:%d" % (m.address, self.control) for m in self.of("controller")[:3]]
        self.stopping = False

    def add(self, role):
        number = self.count[role]
        self.count[role] += 1
        net = {"controller": 1, "ledger": 2, "gateway": 3}[role]
        machine = Machine(self, role, ZONES[number % len(ZONES)],
                          "%s.%d.%d" % (self.subnet, net, number + 1))
        self.machines.append(machine)
        return machine

    def of(self, role):
        return [m for m in self.machines if m.role == role]

    def fields(self, machine, bootstrap):
        listen = {}
        if machine.role == "gateway":
            listen = {"front": "%s:%d" % (machine.address, self.front),
                      "ready": "%s:%d" % (machine.address, self.ready)}
        elif machine.role == "controller":
            listen = {"control": "%s:%d" % (machine.address, self.control)}
        return {
            "nodeName": machine.name, "role": machine.role, "ipAddress": machine.address,
            "zone": machine.zone, "region": "be-north", "listenAddresses": listen,
            "internalPortRange": [self.internal, self.internal + 15], "seeds": self.seeds,
            "bootstrap": bootstrap, "lossCounts": machine.role != "gateway",
            "limits": {"processorShare": 0.5, "cores": 1, "memoryMb": 320,
                       "fileDescriptors": 4096, "linkBandwidthMbps": 1000.0},
            "dataDirectory": machine.data, "heartbeatIntervalMs": BEAT_MS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
        }

    def start(self):
        for machine in self.machines:
            machine.start(bootstrap=True)

    def close(self):
        self.stopping = True
        for machine in self.machines:
            machine.thaw()
            machine.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # -- the operator ------------------------------------------------------------------------

    def control_call(self, method, path, body=None, seconds=10.0, final=(200, 400, 404, 409, 422)):
        """Calls the controllers in turn, as the operator does. Returns (status, body, machine)."""
        payload = None if body is None else json.dumps(body).encode()
        until = time.monotonic() + seconds
        turn = random.randrange(100)
        while time.monotonic() < until:
            machines = [m for m in self.of("controller")]
            machine = machines[turn % len(machines)]
            turn += 1
            try:
                status, answer, _ = call(machine.address, self.control, method, path, payload,
                                         {"Content-Type": "application/json"}, timeout=1.0)
            except OSError as error:
                self.record("operator %s %s at %s: no answer (%s)"
                            % (method, path, machine.name, type(error).__name__))
                time.sleep(0.05)
                continue
            self.record("operator %s %s at %s: %d %s"
                        % (method, path, machine.name, status, answer[:60].decode("utf-8", "replace")))
            if status in final:
                return status, answer, machine
            time.sleep(0.1)
        return 0, b"", None

    def ready_gateways(self):
        ready = []
        for machine in self.of("gateway"):
            try:
                if call(machine.address, self.ready, "GET", "/ready", timeout=1.0)[0] == 200:
                    ready.append(machine)
            except OSError:
                pass
        return ready

    def wait(self, what, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.02)
        raise CannotRun("waited in vain for " + what)

    def wait_until_formed(self, configuration):
        status, _, _ = self.control_call("POST", "/Configuration.Replace", configuration, 20)
        if status != 200:
            raise CannotRun("the first configuration was not acknowledged")
        self.wait("ready gateways",
                  lambda: len(self.ready_gateways()) == len(self.of("gateway")), 15)

    def leader(self, role, seconds=10):
        found = []

        def look():
            found[:] = [m for m in self.of(role) if m.leads()]
            return len(found) == 1
        self.wait("a leader of the " + role + "s", look, seconds)
        return found[0]

    # -- the trainer -------------------------------------------------------------------------

    def front_call(self, machine, method, path, host, body=None, headers=None, timeout=4.0):
        fields = {"Host": host, "Content-Type": "application/json"}
        fields.update(headers or {})
        return call(machine.address, self.front, method, path, body, fields, timeout)

    def submit(self, host, prefix, job, body, seconds=15.0, machines=None):
        """Sends a batch job until it is accepted, as trainers do. Returns the machine."""
        payload = json.dumps(body).encode()
        until = time.monotonic() + seconds
        machines = machines or self.of("gateway")
        turn = 0
        while time.monotonic() < until:
            machine = machines[turn % len(machines)]
            turn += 1
            try:
                status, answer, _ = self.front_call(machine, "POST", prefix + job, host, payload,
                                                    {"Request-Id": job})
            except OSError as error:
                self.record("trainer POST %s at %s: no answer (%s)"
                            % (job, machine.name, type(error).__name__))
                time.sleep(0.05)
                continue
            self.record("trainer POST %s at %s: %d" % (job, machine.name, status))
            if status == 202:
                return machine
            time.sleep(0.05)
        return None

    def read_job(self, host, job, after=0, machines=None, quiet=False, wait_ms=200):
        """One read. Returns (status, document or None, machine)."""
        machines = machines or self.of("gateway")
        machine = random.choice(machines)
        try:
            status, answer, _ = self.front_call(
                machine, "GET", "/lots/%s?afterRevision=%d" % (job, after), host, None,
                {"Wait-Milliseconds": str(wait_ms)})
        except (OSError, http.client.HTTPException) as error:
            self.record("trainer GET %s after %d at %s: no answer (%s)"
                        % (job, after, machine.name, type(error).__name__))
            return 0, None, machine
        document = json.loads(answer) if status == 200 else None
        if not quiet or status != 200:
            self.record("trainer GET %s after %d at %s: %d%s"
                        % (job, after, machine.name, status,
                           "" if document is None else ", %d results of %d"
                           % (len(document["results"]), document["total"])))
        return status, document, machine


def call(address, port, method, path, body=None, headers=None, timeout=2.0):
    """One HTTP call on a fresh connection. Returns (status, body, headers)."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read(), response.headers
    except http.client.HTTPException as error:
        raise OSError("broken answer: %r" % error) from error
    finally:
        connection.close()


# ---- samplers -------------------------------------------------------------------------------


class Sampler:
    """A model sampler: heartbeats, orders, and streams of events."""

    def __init__(self, farm, service, address, port, model, slots=8, events=5, gap=0.02):
        self.farm = farm
        self.service = service
        self.address = address
        self.port = port
        self.model = model
        self.zone = ZONES[0]
        self.slots = slots
        self.events = events
        self.gap = gap
        self.version = 1
        self.busy = False
        self.state = "ready"
        self.id = "i-%08x" % random.getrandbits(32)
        self.sequence = 0
        self.fence = 0
        self.beat_at = None
        self.spoil = None  # spoil(item id, run number) -> bytes of a wrong event, or None
        self.runs = []     # (time, item, first event)

    def text(self, item, event):
        return "%s-%d" % (item, event)

    async def serve(self):
        self.server = await asyncio.start_server(self.connection, self.address, self.port)

    async def connection(self, reader, writer):
        try:
            while await self.request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def request(self, reader, writer):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = await reader.readline()
            if not line:
                return False
            head += line
        lines = head.decode("latin-1").split("\r\n")
        method, path = lines[0].split(" ")[:2]
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        expected = headers.get("expected-instance")
        request_id = headers.get("request-id", "")
        fields = "Request-Id: %s\r\nInstance: %s\r\n" % (request_id, self.id)
        if expected is not None and expected != self.id:
            self.answer(writer, 421, fields + "Not-Executed: 1\r\n")
        elif path == "/report":
            self.answer(writer, 200, fields, json.dumps(self.report()))
        elif path == "/order":
            self.order(writer, json.loads(body))
        elif path == "/health":
            self.answer(writer, 200, fields)
        elif self.busy:
            self.answer(writer, 503, fields + "Not-Executed: 1\r\n")
        else:
            await self.run(writer, headers, request_id, path, body)
        await writer.drain()
        return True

    def report(self):
        return {"stage": "both", "models": self.models(), "busy": self.busy,
                "sequence": 0, "waitingCount": 0, "runningCount": 0, "cacheUsed": 0,
                "cacheTotal": 50000, "handles": 0}

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def answer(self, writer, status, fields, body=""):
        writer.write(("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s"
                      % (status, fields, len(body), body)).encode())

    def order(self, writer, body):
        if body["fencingToken"] < self.fence:
            self.answer(writer, 412, "")
            return
        self.fence = body["fencingToken"]
        if body["version"] == self.version:
            self.answer(writer, 200, "")
        elif self.busy:
            self.answer(writer, 409, "")
        else:
            self.busy = True
            self.answer(writer, 202, "")
            asyncio.get_running_loop().call_later(0.9, self.loaded, body["version"])

    def loaded(self, version):
        self.version = version
        self.busy = False

    async def run(self, writer, headers, item, path, body):
        first = int(headers.get("last-event-id", "0")) + 1
        self.runs.append((time.monotonic(), item, first))
        self.farm.record("sampler %s runs %s %s from event %d" % (self.id, path, item, first))
        number = sum(1 for run in self.runs if run[1] == item)
        writer.write(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\n"
                      "Weight-Versions: %d\r\nServer-Load: 1,0,%d\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                      % (item, self.id, item, self.version, self.slots)).encode())
        for event in range(first, self.events + 1):
            data = self.text(item, event).encode()
            wrong = self.spoil(item, number, event) if self.spoil else None
            if wrong is not None:
                self.farm.record("sampler %s hands out wrong bytes in event %d of %s: %r"
                                 % (self.id, event, item, wrong))
                data = wrong
            piece = b"id: %d\ndata: %s\n\n" % (event, data)
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")

    def beat(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % (self.address, self.port),
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "stage": "both", "models": self.models(),
                "sequence": self.sequence}


class Farm:
    """Runs the samplers on a loop of their own and sends their heartbeats."""

    def __init__(self, cluster, record):
        self.cluster = cluster
        self.record = record
        self.samplers = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.stopped = False
        self.beats = threading.Thread(target=self.beat_all, daemon=True)

    def add(self, service, model, **options):
        address = "%s.4.%d" % (self.cluster.subnet, len(self.samplers) + 1)
        sampler = Sampler(self, service, address, free_port(address, set()), model, **options)
        sampler.zone = ZONES[len(self.samplers) % len(ZONES)]
        asyncio.run_coroutine_threadsafe(sampler.serve(), self.loop).result(5)
        self.samplers.append(sampler)
        return sampler

    def start(self):
        self.beats.start()

    def beat_all(self):
        due = {}
        while not self.stopped:
            now = time.monotonic()
            for sampler in list(self.samplers):
                if due.get(sampler.id, 0) <= now:
                    due[sampler.id] = now + BEAT_MS / 1000 * random.uniform(0.9, 1.0)
                    threading.Thread(target=self.send_beat, args=(sampler,), daemon=True).start()
            time.sleep(0.02)

    def send_beat(self, sampler):
        body = json.dumps(sampler.beat()).encode()
        controllers = [(m.address, self.cluster.control) for m in self.cluster.of("controller")]
        random.shuffle(controllers)
        if sampler.beat_at:
            controllers.insert(0, sampler.beat_at)
        for address, port in controllers:
            try:
                status, answer, _ = call(address, port, "POST",
                                         "/Instances.Heartbeat/" + sampler.id, body,
                                         {"Content-Type": "application/json"}, timeout=1.0)
            except OSError:
                sampler.beat_at = None
                continue
            if 200 <= status < 300:
                named = json.loads(answer or b"{}").get("heartbeatAddress")
                if named:
                    host, _, number = named.rpartition(":")
                    sampler.beat_at = (host, int(number))
                return
            sampler.beat_at = None

    def close(self):
        self.stopped = True
        self.loop.call_soon_threadsafe(self.loop.stop)


# ---- configurations and jobs ----------------------------------------------------------------


def route(name, host, prefix, service, **fields):
    entry = {"name": name, "host": host, "pathPrefix": prefix, "kind": "rollout",
             "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 1, "service": service,
             "attempts": 3, "queueTimeoutS": 40.0, "resultDeadlineMs": 7500,
             "singleVersion": False, "sticky": True, "resumable": True}
    entry.update(fields)
    return entry


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"headerLimitBytes": 16384, "bodyLimitBytes": 33554432,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def engine_service(name, model, slots=8):
    return {"name": name, "healthPath": "/health", "connectionLimit": 170, "protocol": "h1",
            "transportSecurity": False,
            "engine": {"slots": slots, "cacheCapacityTokens": 52385, "cacheTokenBytes": 163840,
                       "linkBandwidthMbps": 4400000.0, "models": [{"name": model}]}}


def batch_job(prefix, model, items, groups=1, minimum=1, step=0):
    entries = []
    for index in range(items):
        entries.append({
            "identifier": "%016x" % random.getrandbits(64),
            "path": prefix + "3/%04x" % random.getrandbits(16),
            "headers": {"Model": model, "Token-Counts": "16,40", "Prompt-Prefix": "9c2e41:255,%x:16"
                        % random.getrandbits(24)},
            "body": base64.b64encode(b"prompt %d" % index).decode(), "tokens": 56,
            "group": "g%d" % (index % groups)})
    return {"step": step, "model": model, "minimumVersion": minimum, "desiredCount": groups,
            "items": entries}


def run_case(folder, play, name="record.txt"):
    """Plays a case and ends the process: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, name))
    record("TROUBLE=%d" % trouble)
    code = 2

    def too_long(_signal, _frame):
        raise CannotRun("the case took too long")
    signal.signal(signal.SIGALRM, too_long)
    signal.alarm(112)
    try:
        code = 1 if play(record, trouble) else 0
        record("the rule was broken" if code else "the rule held")
    except CannotRun as error:
        record("cannot run: %s" % error)
    except Exception as error:  # a fault of the script is no result
        record("cannot run: %r" % error)
        import traceback
        record(traceback.format_exc())
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
