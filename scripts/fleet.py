"""Starts and stops a local fleet on loopback and injects faults. Used by scripts/demo and bench/gateway.py.

Only processes started by this module are stopped, and all files are written to one folder.
"""

import hashlib
import json
import os
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
OPERATOR_TOKEN = "operator-token-of-the-local-fleet"
CALLER_TOKEN = "caller-token-of-the-local-fleet"
TRAINER_TOKEN = "trainer-token-of-the-local-fleet"

PROFILES = {
    "zoekwerk": {
        "tenant": "zoekwerk",
        "zones": ["gent-a", "leuven-b", "mechelen-c"],
        "engines": 12,
        "zone_delay_us": 500,
    },
    "strait-ferry": {
        "tenant": "strait-ferry",
        "zones": ["pier-a", "pier-b", "cijin"],
        "engines": 14,
        "zone_delay_us": 900,
    },
}


RESERVED_SOCKETS = []


def reserve_port():
    """Returns a free port, which stays reserved until this program exits.

    The socket stays bound but does not listen: no other program gets the port, while a listener
    with SO_REUSEADDR can still bind it.
    """
    reservation = socket.socket()
    reservation.bind(("127.0.0.1", 0))
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    RESERVED_SOCKETS.append(reservation)
    return reservation.getsockname()[1]


def wait_until(condition, what, seconds=30):
    """Polls until the condition holds; raises RuntimeError after the timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError("timed out waiting for " + what)


def http_ok(url):
    """Whether a GET request to the URL returns status 200."""
    try:
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False


def post(url, body=None):
    """Posts JSON and returns the decoded response body."""
    data = json.dumps(body or {}).encode()
    with urllib.request.urlopen(urllib.request.Request(url, data=data, method="POST"), timeout=5) as response:
        return json.loads(response.read() or b"{}")


class Node:
    """A tackpickd process, its ports and its folder."""

    def __init__(self, number, roles, zone, folder):
        self.number = number
        self.roles = roles
        self.zone = zone
        self.folder = folder
        self.internal_port = reserve_port()
        self.http_port = reserve_port()
        self.process = None
        self.log = os.path.join(folder, "log.txt")


class Fleet:
    """Controllers, ledgers, gateways, engine emulators and the proxy that adds network delays."""

    def __init__(self, folder, profile="zoekwerk", controllers=3, ledgers=3, gateways=2,
                 build="build", emulator_flags=(), gateway_settings=None, zone_delays=True):
        self.folder = folder
        self.profile = PROFILES[profile]
        self.build = os.path.join(ROOT, build)
        self.profile_name = profile
        self.emulator_flags = list(emulator_flags)
        self.gateway_settings = gateway_settings or {}
        self.zone_delays = zone_delays
        self.proxy = None
        self.proxy_admin = None
        self.emulators = []
        self.emulator_ports = []
        self.platform_port = reserve_port()
        os.makedirs(folder, exist_ok=True)
        zones = self.profile["zones"]
        node_numbers = iter(range(1, 1000))

        def make_nodes(count, roles):
            return [Node(next(node_numbers), roles, zones[i % len(zones)],
                         os.path.join(folder, f"{roles[0]}-{i + 1}")) for i in range(count)]

        self.controllers = make_nodes(controllers, ["controller"])
        self.ledgers = make_nodes(ledgers, ["ledger"])
        self.gateways = make_nodes(gateways, ["gateway"])
        self.key_file = os.path.join(folder, "cluster.key")
        with open(self.key_file, "w", encoding="utf-8") as key:
            key.write("a shared key for the local fleet only\n")

    @property
    def nodes(self):
        """All tackpickd nodes."""
        return self.controllers + self.ledgers + self.gateways

    def start(self):
        """Starts all processes and waits until the gateways are ready and all engines are listed."""
        if self.zone_delays:
            self._start_proxy()
        self._start_emulators()
        for node in self.nodes:
            self._write_settings(node)
        for node in self.controllers + self.ledgers:
            self.start_node(node, "--init")
        for node in self.gateways:
            self.start_node(node)
        wait_until(lambda: any(self._is_leader(node) for node in self.controllers), "a leading controller")
        self.run_ctl("apply", "-f", os.path.join(ROOT, "deploy", self.profile_name))
        tenant = self.profile["tenant"]
        self.run_ctl("token", "add", CALLER_TOKEN, "--role", "caller", "--tenant", tenant)
        self.run_ctl("token", "add", TRAINER_TOKEN, "--role", "trainer", "--tenant", tenant)
        wait_until(lambda: all(self.is_ready(node) for node in self.gateways), "the gateways to be ready")
        wait_until(lambda: len(json.loads(self.run_ctl("engines", "-o", "json"))) >= self.profile["engines"],
                   "all engines to be listed")
        time.sleep(0.5)

    def _start_proxy(self):
        """Starts the proxy that adds the network delay to every internal link."""
        port = reserve_port()
        log = open(os.path.join(self.folder, "proxy.txt"), "w", encoding="utf-8")
        self.proxy = subprocess.Popen(
            [os.path.join(self.build, "tackpick-faultproxy"), "--admin-port", str(port)],
            stdout=log, stderr=log)
        self.proxy_admin = f"http://127.0.0.1:{port}"
        wait_until(lambda: http_ok(self.proxy_admin + "/healthz"), "the fault proxy")

    def _add_proxy_route(self, source, target):
        """Returns the port at which `source` reaches `target`, through the proxy if there is one."""
        if not self.zone_delays:
            return target.internal_port
        delay = self.profile["zone_delay_us"] if source.zone != target.zone else 50
        response = post(self.proxy_admin + "/routes", {
            "name": f"{source.number}-{target.number}", "host": "127.0.0.1",
            "port": target.internal_port, "delay_us": delay})
        return response["port"]

    def set_fault(self, source, target, fault):
        """Sets the fault of the link from `source` to `target`: pass, cut or black_hole."""
        post(f"{self.proxy_admin}/routes/{source.number}-{target.number}", {"fault": fault})

    def _start_emulators(self):
        """Starts two emulator processes with half of the engines each, so that one can be killed."""
        total = self.profile["engines"]
        first_half = total // 2
        for index, (first, count) in enumerate([(1, first_half), (first_half + 1, total - first_half)]):
            self.emulators.append(None)
            self.emulator_ports.append(None)
            self.start_emulator(index, first, count)

    def start_emulator(self, index, first=None, count=None):
        """Starts or restarts an emulator process."""
        total = self.profile["engines"]
        first_half = total // 2
        if first is None:
            first, count = [(1, first_half), (first_half + 1, total - first_half)][index]
        port_file = os.path.join(self.folder, f"emulator-{index}.json")
        if os.path.exists(port_file):
            os.remove(port_file)
        command = [os.path.join(self.build, "tackpick-emulator"), "--engines", str(count),
                   "--first-engine", str(first), "--zones", ",".join(self.profile["zones"]),
                   "--port-file", port_file] + self.emulator_flags
        if index == 0:
            command += ["--serve-platform", "--platform-port", str(self.platform_port)]
        else:
            command += ["--platform", f"http://127.0.0.1:{self.platform_port}"]
        log = open(os.path.join(self.folder, f"emulator-{index}.txt"), "a", encoding="utf-8")
        self.emulators[index] = subprocess.Popen(command, stdout=log, stderr=log)
        wait_until(lambda: os.path.exists(port_file), "an emulator")
        with open(port_file, encoding="utf-8") as ports:
            self.emulator_ports[index] = json.load(ports)

    def _write_settings(self, node):
        """Writes the node's settings file."""
        os.makedirs(node.folder, exist_ok=True)
        lines = [
            "cluster: local", f"node: {node.number}", f"zone: {node.zone}", "data_folder: data",
            "key_file: ../cluster.key", f"internal: 127.0.0.1:{node.internal_port}",
            f"http: 127.0.0.1:{node.http_port}", f"roles: [{', '.join(node.roles)}]",
            f"machine_list: http://127.0.0.1:{self.platform_port}/machines",
            f"operator_token_hash: {hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()}",
            f"controllers: {{group: 1, nodes: {[n.number for n in self.controllers]}}}",
            "ledgers:", f"  - {{group: 101, nodes: {[n.number for n in self.ledgers]}}}", "peers:"]
        for peer in self.controllers + self.ledgers:
            if peer is not node:
                lines.append(f"  - {{node: {peer.number}, address: '127.0.0.1:{self._add_proxy_route(node, peer)}'}}")
        if "gateway" in node.roles:
            lines.append("gateway:")
            lines += [f"  {key}: {value}" for key, value in self.gateway_settings.items()] or ["  {}"]
        with open(os.path.join(node.folder, "settings.yaml"), "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start_node(self, node, *flags):
        """Starts a tackpickd process."""
        log = open(node.log, "a", encoding="utf-8")
        node.process = subprocess.Popen(
            [os.path.join(self.build, "tackpickd"), "--settings",
             os.path.join(node.folder, "settings.yaml"), *flags], stdout=log, stderr=log)

    def is_ready(self, node):
        """Whether the node reports that it is ready."""
        return http_ok(f"http://127.0.0.1:{node.http_port}/readyz")

    def status(self, node):
        """Returns the status that a controller reports, or None if it is unreachable."""
        request = urllib.request.Request(f"http://127.0.0.1:{node.http_port}/v1/control/status",
                                         headers={"Authorization": "Bearer " + OPERATOR_TOKEN})
        try:
            with urllib.request.urlopen(request, timeout=1) as response:
                return json.load(response)
        except (urllib.error.URLError, OSError):
            return None

    def _is_leader(self, node):
        status = self.status(node)
        return bool(status and status["can_read"])

    def leader(self):
        """Returns the leading controller, or None."""
        return next((node for node in self.controllers if self._is_leader(node)), None)

    def run_ctl(self, *arguments):
        """Runs tackpickctl and returns its output."""
        urls = ",".join(f"http://127.0.0.1:{node.http_port}" for node in self.controllers)
        result = subprocess.run(
            [os.path.join(self.build, "tackpickctl"), "--controllers", urls, *arguments],
            env=dict(os.environ, TACKPICK_TOKEN=OPERATOR_TOKEN), capture_output=True, text=True,
            timeout=60, check=False)
        if result.returncode not in (0, 5):
            raise RuntimeError(f"tackpickctl {arguments}: {result.stdout}{result.stderr}")
        return result.stdout

    def gateway_urls(self):
        """Returns the URLs of all gateways, separated by commas."""
        return ",".join(f"http://127.0.0.1:{node.http_port}" for node in self.gateways)

    def load_command(self, seconds, report, seed=1, scale=1.0):
        """Returns the command line of tackpick-load for this fleet."""
        admins = ",".join(f"http://127.0.0.1:{ports['admin']}" for ports in self.emulator_ports)
        return [os.path.join(self.build, "tackpick-load"), "--gateways", self.gateway_urls(),
                "--caller-token", CALLER_TOKEN, "--trainer-token", TRAINER_TOKEN,
                "--scorer", f"http://127.0.0.1:{self.platform_port}", "--engine-admins", admins,
                "--profile", self.profile_name, "--seconds", str(seconds), "--seed", str(seed),
                "--scale", str(scale), "--report", report]

    @staticmethod
    def kill(process):
        """Kills a process without a graceful shutdown."""
        process.kill()
        process.wait()

    def stop(self):
        """Terminates all processes; kills those that do not exit in time."""
        processes = [node.process for node in self.gateways + self.ledgers + self.controllers]
        processes += self.emulators + [self.proxy]
        for process in processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + 8
        for process in processes:
            if process is None:
                continue
            try:
                process.wait(timeout=max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
