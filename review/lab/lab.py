"""A small deployment on loopback: the project's controllers as processes, stand-ins around them, and the record."""

import atexit
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import fleet as fleet_module
import state as state_module
import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LIMIT_S = 118.0

# The machine types of the two deployments, as the brief and the site files give them.
TINTWORKS_TYPES = [
    {"sku": "small-mixers", "cpus": 4.0, "cards": 0.0, "ramGb": 16.0, "cacheGb": 70.0, "pullGbPerS": 0.4, "rate": 0.29,
     "lowPrice": 0.09, "startupS": 40.0, "halls": ["harbour-zone"]},
    {"sku": "big-mixers", "cpus": 16.0, "cards": 0.0, "ramGb": 128.0, "cacheGb": 60.0, "pullGbPerS": 0.8, "rate": 1.25,
     "lowPrice": 0.41, "startupS": 20.0, "halls": ["harbour-zone"]},
]
PAKET_TYPES = [
    {"sku": "lagerbox", "cpus": 8.0, "cards": 0.0, "ramGb": 32.0, "cacheGb": 80.0, "pullGbPerS": 0.8, "rate": 0.4,
     "lowPrice": 0.15, "startupS": 40.0, "halls": ["lech-halle", "isar-halle"]},
    {"sku": "sortbox", "cpus": 16.0, "cards": 0.0, "ramGb": 128.0, "cacheGb": 80.0, "pullGbPerS": 0.8, "rate": 1.04,
     "lowPrice": 0.43, "startupS": 35.0, "halls": ["lech-halle", "isar-halle"]},
    {"sku": "routbox", "cpus": 32.0, "cards": 0.0, "ramGb": 128.0, "cacheGb": 80.0, "pullGbPerS": 0.8, "rate": 1.67,
     "lowPrice": 0.71, "startupS": 30.0, "halls": ["lech-halle", "isar-halle"]},
]

# The settings of the two deployments' first version.
TINTWORKS = {
    "zones": ["harbour-zone"],
    "controllers": ["harbour-zone"] * 3,
    "teams": [{"name": "formula-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "workers": {"report_s": 3.0, "lease_s": 44.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 74.0},
    "state": {"rps": 200.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 10.0, "list_lag_s": 8.0},
    "resources": {"cpu_share": 0.096, "mem_mb": 136.0, "sockets": 5000},
    "types": TINTWORKS_TYPES,
}
PAKET = {
    "zones": ["lech-halle", "isar-halle"],
    "controllers": ["lech-halle", "isar-halle", "lech-halle"],
    "teams": [
        {"name": "sortierteam", "cpus": 328.0, "cpus_max": 888.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "routenteam", "cpus": 136.0, "cpus_max": 552.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "zustellteam", "cpus": 200.0, "cpus_max": 400.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "workers": {"report_s": 3.0, "lease_s": 16.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 41.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 24},
    "cloud": {"rps": 5.0, "list_lag_s": 5.0},
    "resources": {"cpu_share": 0.064, "mem_mb": 40.0, "sockets": 800},
    "types": PAKET_TYPES,
}


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_addresses(count):
    """Free addresses for the controllers. They have a loopback IP address of this process's own: on 127.0.0.1 an outgoing
    connection may be given the port before the controller listens on it, or while it is restarted."""
    ip = "127.%d.%d.1" % (1 + os.getpid() % 250, os.getpid() // 250 % 250)
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    addresses = ["%s:%d" % sock.getsockname() for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Lab:
    def __init__(self, folder, site, capacity, boot_s=1.0):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.folder, self.site = folder, site
        self.record_lock = threading.Lock()
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.record(f"trouble: {'on' if self.trouble else 'off'}")
        self.directory = tempfile.TemporaryDirectory(prefix="lichencrank-review-")
        self.processes = {}
        atexit.register(self.stop)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        watchdog = threading.Timer(LIMIT_S + 1.0, self.give_up)
        watchdog.daemon = True
        watchdog.start()
        self.state = state_module.StateService(self.record, **{k: site["state"][k] for k in
                                                              ("rps", "write_rps", "value_kb", "txn_ops")})
        self.fleet = fleet_module.Fleet(self.record, site["types"], capacity, site["workers"]["report_s"],
                                        site["workers"]["lease_s"], site["cloud"]["list_lag_s"], boot_s)
        count = len(site["controllers"])
        addresses = free_addresses(2 * count)
        fronts, internals = addresses[:count], addresses[count:]
        self.names = [f"crankhost-{i}" for i in range(count)]
        self.fronts = dict(zip(self.names, fronts))
        self.zones = dict(zip(self.names, site["controllers"]))
        self.fleet.nodes = list(self.fronts.items())
        self.settings = {}
        for i, name in enumerate(self.names):
            others = [{"host_name": self.names[j], "area": site["controllers"][j], "addr": internals[j]}
                      for j in range(count) if j != i]
            settings = {
                "host_name": name, "area": site["controllers"][i], "front": fronts[i], "internal_addr": internals[i],
                "others": others, "outside": {"cloud": self.fleet.address, "state": self.state.address},
                "settings": {"size": count, "zones": site["zones"], "teams": site["teams"], "objectives": [],
                             "workers": site["workers"], "state": site["state"], "cloud": site["cloud"],
                             "resources": site["resources"], "clock_off_ms": 5.0},
            }
            self.settings[name] = os.path.join(self.directory.name, f"{name}.json")
            with open(self.settings[name], "w") as file:
                json.dump(settings, file)

    # ---- record and time

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, line):
        with self.record_lock:
            if not self.record_file.closed:
                self.record_file.write(f"{self.now():8.3f} {line}\n")
                self.record_file.flush()

    def sleep_until(self, at):
        if at > LIMIT_S:
            raise CannotRun("no time is left")
        time.sleep(max(0.0, at - self.now()))

    def wait_for(self, what, check, timeout):
        end = min(self.now() + timeout, LIMIT_S)
        while self.now() < end:
            value = check()
            if value:
                return value
            time.sleep(0.02)
        raise CannotRun(f"not within {timeout} s: {what}")

    # ---- controllers

    def start_controller(self, name):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["run"]) + [self.settings[name]]
        log = open(os.path.join(self.directory.name, f"{name}.log"), "ab")
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
                                                env=environment)
        self.record(f"{name} started")

    def start_controllers(self):
        for name in self.names:
            self.start_controller(name)
        self.wait_for("all controllers are healthy", lambda: all(
            wire.call(address, "GET", "/healthz", timeout=1.0)[0] == 200 for address in self.fronts.values()), 15)

    def signal(self, name, number):
        self.record(f"{name}: signal {signal.Signals(number).name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def leader(self):
        holder = self.state.value("lead/holder")
        return holder and (holder["node"], holder["term"])

    def wait_for_leader(self):
        return self.wait_for("a leader", self.leader, 15)

    def logs(self):
        lines = []
        for name in self.names:
            path = os.path.join(self.directory.name, f"{name}.log")
            if os.path.exists(path):
                with open(path, errors="replace") as file:
                    lines += [f"{name}: {line.rstrip()}" for line in file]
        return lines

    def give_up(self):
        """The case took too long: ends all processes and this one."""
        self.stop()
        os._exit(2)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if not self.record_file.closed:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                with open(keep, "w") as file:
                    file.write("\n".join(self.logs()) + "\n")
            self.record_file.close()

    # ---- users

    def spec(self, ref, team, pieces, cpus, ram_gb, urgency="normal", guess_s=30.0, due_s=None, **fields):
        return {"ref": ref, "jobclass": fields.pop("jobclass", "colourmix-arrays"), "crew": team, "shape": "sweep",
                "urgency": urgency, "pieces": pieces, "cpus": cpus, "cards": 0.0, "ramGb": ram_gb,
                "bundle": "img-1", "imageGb": 0.1, "hosttypes": None, "hall": None, "samePlace": False, "apart": False,
                "loaners": True, "guessS": guess_s, "snapshotS": 0.0, "stashS": 0.0, "dueS": due_s, **fields}

    def submit(self, spec, run_s):
        """Submits a job as users do, at any controller, and repeats the request until it is accepted."""
        self.fleet.upload(spec, run_s)
        end = self.now() + 60
        while self.now() < min(end, LIMIT_S):
            name = random.choice(self.names)
            status, body = wire.call(self.fronts[name], "POST", "/api/jobs", spec, timeout=5.0)
            self.record(f"user submits {spec['ref']} to {name}: {status} {body}")
            if status in (200, 201):
                return self.now()
            if status in (400, 422):
                raise CannotRun(f"{spec['ref']} was answered {status}")
            time.sleep(1.0)
        raise CannotRun(f"{spec['ref']} was not accepted")

    def poll(self, ref, name=None):
        name = name or random.choice(self.names)
        status, body = wire.call(self.fronts[name], "GET", f"/api/jobs/{ref}", timeout=2.0)
        self.record(f"user asks {name} about {ref}: {status} {body}")
        return status, body

    def starts_of(self, ref):
        with fleet_module.LOCK:
            return [s for s in self.fleet.starts if s[1].startswith(ref + "/")]


def run(case):
    """Runs `case`, which returns the broken rules as texts, and exits with 1, 0 or 2."""
    try:
        broken = case()
    except CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:  # A fault of the case itself is no verdict about the project.
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        print(f"broken: {text}")
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
