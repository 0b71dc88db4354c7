"""A small deployment on loopback: the controllers as processes of the deploy file, the stand-ins, and users."""
import asyncio
import gc
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from fleet import Fleet
from judge import Judge
from state import State
from wire import Link, decode

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

TINTWORKS = {
    "name": "tintworks-akl", "nodes": ["harbour-zone"] * 3, "back_s": 4.0,
    "types": [
        {"sku": "small-mixers", "cpus": 4.0, "cards": 0.0, "ramGb": 16.0, "cacheGb": 70.0, "pullGbPerS": 1.0,
         "rate": 0.29, "lowPrice": 0.09, "startupS": 40.0, "halls": ["harbour-zone"]},
        {"sku": "big-mixers", "cpus": 16.0, "cards": 0.0, "ramGb": 128.0, "cacheGb": 70.0, "pullGbPerS": 1.0,
         "rate": 1.25, "lowPrice": 0.41, "startupS": 20.0, "halls": ["harbour-zone"]}],
    "settings": {
        "size": 3, "zones": ["harbour-zone"],
        "teams": [{"name": "formula-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "objectives": [{"kind": "deadline", "class": "colourmix-arrays", "share": 0.82, "times": 1.0},
                       {"kind": "deadline", "class": "rush-tints", "share": 0.95, "times": 1.0}],
        "workers": {"report_s": 3.0, "lease_s": 44.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 74.0},
        "state": {"rps": 200.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 10.0, "list_lag_s": 8.0},
        "resources": {"cpu_share": 0.096, "mem_mb": 136.0, "sockets": 5000},
        "clock_off_ms": 5.0}}

MUNICH = {
    "name": "paketgenossen-muc", "nodes": ["lech-halle", "isar-halle", "lech-halle"], "back_s": 3.0,
    "types": [
        {"sku": "lagerbox", "cpus": 8.0, "cards": 0.0, "ramGb": 32.0, "cacheGb": 70.0, "pullGbPerS": 1.0,
         "rate": 0.4, "lowPrice": 0.15, "startupS": 40.0, "halls": ["isar-halle"]},
        {"sku": "sortbox", "cpus": 16.0, "cards": 0.0, "ramGb": 128.0, "cacheGb": 70.0, "pullGbPerS": 1.0,
         "rate": 1.04, "lowPrice": 0.43, "startupS": 35.0, "halls": ["isar-halle"]},
        {"sku": "routbox", "cpus": 32.0, "cards": 0.0, "ramGb": 128.0, "cacheGb": 50.0, "pullGbPerS": 0.4,
         "rate": 1.67, "lowPrice": 0.71, "startupS": 30.0, "halls": ["lech-halle", "isar-halle"]}],
    "settings": {
        "size": 3, "zones": ["lech-halle", "isar-halle"],
        "teams": [{"name": "sortierteam", "cpus": 328.0, "cpus_max": 888.0, "gpus": 0.0, "gpus_max": 0.0},
                  {"name": "routenteam", "cpus": 136.0, "cpus_max": 552.0, "gpus": 0.0, "gpus_max": 0.0},
                  {"name": "zustellteam", "cpus": 200.0, "cpus_max": 400.0, "gpus": 0.0, "gpus_max": 0.0}],
        "objectives": [{"kind": "deadline", "class": "scanlauf", "share": 0.88, "times": 1.0},
                       {"kind": "deadline", "class": "eilrouten", "share": 0.9, "times": 1.0}],
        "workers": {"report_s": 3.0, "lease_s": 16.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 41.0},
        "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 24},
        "cloud": {"rps": 5.0, "list_lag_s": 5.0},
        "resources": {"cpu_share": 0.064, "mem_mb": 40.0, "sockets": 800},
        "clock_off_ms": 1000.0}}


class Proxy:
    """A TCP proxy of one link. `cut` holds what arrives and lets no connection through, `heal` passes it on;
    `refuse` refuses new connections and resets the open ones."""

    def __init__(self, target):
        self.target, self.server, self.port = target, None, None
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.is_open.is_set():
                # A connection that is given up during the cut does not come about later.
                await asyncio.sleep(0.05)
                if reader.at_eof() or writer.is_closing():
                    raise OSError
            out_reader, out_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(out_writer)
        await asyncio.gather(self.pump(reader, out_writer), self.pump(out_reader, writer), return_exceptions=True)
        self.writers -= {writer, out_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    def refuse(self):
        self.stop()

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Lab:
    def __init__(self, case_dir, site, capacity, seconds=115, boot_factor=(0.6, 1.5), has_peer_proxies=False,
                 settings=None, has_proxies=False):
        self.site = site
        self.has_proxies = has_proxies
        self.settings = settings or json.loads(json.dumps(site["settings"]))
        self.record = open(Path(case_dir) / os.environ.get("RECORD", "record.txt"), "w")
        self.judge = Judge(self.record, self.settings)
        self.state = State(self.settings["state"])
        self.fleet = Fleet(self.judge, self.settings, site["types"], capacity, boot_factor)
        self.count = len(site["nodes"])
        self.names = [f"crankhost-{n}" for n in range(self.count)]
        self.processes = [None] * self.count
        self.folder = tempfile.mkdtemp(prefix="lichencrank-case-")
        self.seconds = seconds
        self.has_peer_proxies = has_peer_proxies
        self.peer_proxies = {}
        self.state_proxies, self.cloud_proxies, self.worker_proxies = {}, {}, {}
        self.last_job = random.randrange(100_000, 800_000)
        self.jobs = []
        self.is_over = False

    async def __aenter__(self):
        state_ports = await self.state.start(self.count)
        cloud_port = await self.fleet.start()
        ports = free_ports(2 * self.count)
        self.fronts, self.internals = ports[:self.count], ports[self.count:]
        self.fleet.names = self.names
        self.fleet.fronts = list(self.fronts)
        if self.has_proxies:
            for i in range(self.count):
                self.state_proxies[i] = Proxy(state_ports[i])
                self.cloud_proxies[i] = Proxy(cloud_port)
                for hall in self.settings["zones"]:
                    self.worker_proxies[hall, i] = Proxy(self.fronts[i])
            for proxies in (self.state_proxies, self.cloud_proxies, self.worker_proxies):
                for proxy in proxies.values():
                    await proxy.start()
            self.fleet.front_of = lambda machine, node: self.worker_proxies[machine.hall, node].port
        for i in range(self.count):
            others = []
            for j in range(self.count):
                if i == j:
                    continue
                port = self.internals[j]
                if self.has_peer_proxies:
                    proxy = Proxy(port)
                    await proxy.start()
                    self.peer_proxies[i, j] = proxy
                    port = proxy.port
                others.append({"host_name": self.names[j], "area": self.site["nodes"][j], "addr": f"127.0.0.1:{port}"})
            settings = {"host_name": self.names[i], "area": self.site["nodes"][i],
                        "front": f"127.0.0.1:{self.fronts[i]}", "internal_addr": f"127.0.0.1:{self.internals[i]}",
                        "others": others,
                        "outside": {
                            "cloud": f"127.0.0.1:{self.cloud_proxies[i].port if self.has_proxies else cloud_port}",
                            "state": f"127.0.0.1:{self.state_proxies[i].port if self.has_proxies else state_ports[i]}"},
                        "settings": self.settings}
            (Path(self.folder) / f"{i}.json").write_text(json.dumps(settings))
        self.jobs.append(asyncio.create_task(self.watch_cancelled()))
        for i in range(self.count):
            self.start(i)
        return self

    async def __aexit__(self, kind, error, trace):
        self.is_over = True
        for job in self.jobs:
            job.cancel()
        for i in range(self.count):
            self.kill(i)
        self.fleet.stop()
        self.state.stop()
        for proxies in (self.peer_proxies, self.state_proxies, self.cloud_proxies, self.worker_proxies):
            for proxy in proxies.values():
                proxy.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def watch_cancelled(self):
        while True:
            await asyncio.sleep(0.2)
            self.judge.check_cancelled()
            for i, process in enumerate(self.processes):
                if process and process.poll() is not None:
                    # For example as its port was taken meanwhile. The platform starts it again.
                    self.judge.note(f"controller {i} ended by itself: {process.returncode}")
                    self.processes[i] = None
                    asyncio.get_running_loop().call_later(self.site["back_s"], self.start_again, i)

    def start_again(self, i):
        if self.processes[i] is None and not self.is_over:
            self.start(i)

    # ---- controllers

    def start(self, i):
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = shlex.split(deploy["run"]) + [str(Path(self.folder) / f"{i}.json")]
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        log = open(os.path.join(os.environ["LOGS"], f"{i}.log"), "ab") if "LOGS" in os.environ else subprocess.DEVNULL
        self.processes[i] = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=log, stdout=log,
                                             stdin=subprocess.DEVNULL)
        self.judge.note(f"controller {i} starts")

    def kill(self, i):
        process, self.processes[i] = self.processes[i], None
        if process:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            self.judge.note(f"controller {i} is killed")

    def freeze(self, i):
        self.processes[i].send_signal(signal.SIGSTOP)
        self.judge.note(f"controller {i} stands still")

    def thaw(self, i):
        self.processes[i].send_signal(signal.SIGCONT)
        self.judge.note(f"controller {i} goes on")

    def leader(self):
        item = self.state.keys.get("lead/holder")
        return self.names.index(item[0]["node"]) if item else None

    def has_settled_leader(self, hall):
        """Whether a controller of the zone leads that has the most machines; others hand over to it after a while."""
        leader = self.leader()
        return leader is not None and self.site["nodes"][leader] == hall

    async def wait(self, what, condition, timeout):
        until = time.monotonic() + timeout
        while not (value := condition()):
            if time.monotonic() > until:
                raise CannotRun(f"{what}: not within {timeout} s")
            await asyncio.sleep(0.02)
        return value

    # ---- users

    def describe(self, **fields):
        self.last_job += 1
        spec = {"ref": f"job-{self.last_job:06}", "jobclass": "class", "crew": self.settings["teams"][0]["name"],
                "shape": "sweep", "urgency": "normal", "pieces": 1, "cpus": 2.0, "cards": 0.0, "ramGb": 4.0,
                "bundle": "img-01", "imageGb": 0.2, "hosttypes": None, "hall": None, "samePlace": False,
                "apart": False, "loaners": True, "guessS": 20.0, "snapshotS": 0.0, "stashS": 0.0, "dueS": None}
        spec.update(fields)
        return spec

    async def ask(self, node, method, target, value, timeout):
        link = Link(self.fronts[node])
        try:
            status, body, fields = await link.call(method, target, value, timeout)
            return status, decode(body) if body else None, fields
        finally:
            link.close()

    async def request(self, what, job, node, timeout=None):
        """One request of a user; returns (status, body) or None without an answer."""
        method, target, value, patience = {
            "submit": ("POST", "/api/jobs", {k: v for k, v in self.judge.specs.get(job, {}).items()
                                            if k not in ("run_s", "broken")}, 5.0),
            "poll": ("GET", f"/api/jobs/{job}", None, 2.0),
            "cancel": ("POST", f"/api/jobs/{job}/withdraw", None, 5.0)}[what]
        if what == "cancel":
            self.judge.asked_to_cancel.setdefault(job, self.judge.now())
        sent = self.judge.now()
        try:
            status, body, fields = await self.ask(node, method, target, value, timeout or patience)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.judge.note(f"node {node}: no answer to {what} {job} ({type(error).__name__}; sent at {sent:.3f})")
            return None
        self.judge.answered(job, what, node, sent, status, body)
        return status, body, int(fields.get("retry-after", "0") or 0)

    async def persist(self, what, job, nodes=None, total=60.0):
        """Repeats a submission or a cancellation as the protocol says; returns the status or None."""
        until = time.monotonic() + total
        while time.monotonic() < until:
            running = [i for i in range(self.count) if self.processes[i]] or [0]
            node = random.choice(running if nodes is None else nodes)
            answer = await self.request(what, job, node)
            if answer and (answer[0] in (200, 201) or what == "submit" and answer[0] in (400, 422)):
                return answer[0]
            await asyncio.sleep(max(1.0, min(answer[2], 30) if answer else 1.0))
        return None

    async def submit(self, nodes=None, **fields):
        spec = self.describe(**fields)
        self.judge.specs[spec["ref"]] = spec
        status = await self.persist("submit", spec["ref"], nodes)
        if status not in (200, 201):
            self.judge.note(f"{spec['ref']} was not accepted: {status}")
            return None
        return spec["ref"]

    def running(self, job):
        return [piece for piece, at in self.judge.on_machine.items() if at and piece.split("/")[0] == job]


class CannotRun(Exception):
    pass


def main(case, seconds=118):
    """Runs a case; exits with 1 if a rule was broken, 0 if not, 2 if the case couldn't run."""
    async def bounded():
        try:
            return await asyncio.wait_for(case(), seconds)
        finally:
            others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            gc.collect()  # closes what is left of the connections while the loop still runs
            await asyncio.sleep(0)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that an early end ends all processes too
    try:
        broken = asyncio.run(bounded())
    except CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(2)
    except TimeoutError:
        print("could not run: out of time")
        sys.exit(2)
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        sys.exit(2)
    finally:
        sys.unraisablehook = lambda _: None  # connections that are left when the loop has ended
    for rule, text in broken:
        print(f"{rule}: {text}")
    sys.exit(1 if broken else 0)
