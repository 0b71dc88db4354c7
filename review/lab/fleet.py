"""Stand-ins of the cloud and of the workers. See "Workers -> controller nodes" and "Controller nodes -> cloud" in the
protocol."""

import random
import threading
import time

import wire

# All workers and the cloud share one lock.
LOCK = threading.RLock()


class Worker:
    """The worker of one machine. `fleet` knows the jobs that users have uploaded and the results that were kept."""

    def __init__(self, fleet, name, machine_type, zone, is_spot):
        self.fleet, self.name, self.zone, self.is_spot = fleet, name, zone, is_spot
        self.type = machine_type
        self.tenure, self.tick, self.baton = 1, 0, 0
        self.lease_from = time.monotonic()
        self.pieces = {}  # (task, attempt) -> attempt
        self.images = set()
        self.is_gone = False
        # The machine fails every task that it starts.
        self.is_sick = False
        # The machine has lost the network.
        self.is_cut = False
        self.warning_until = None
        self.change = threading.Event()
        self.token_change_at = 0.0
        self.last_report_at = 0.0
        self.server = wire.Server(self.handle)
        self.proxy = wire.Proxy(self.server.address)
        self.address = self.proxy.address
        threading.Thread(target=self._report_loop, daemon=True).start()
        threading.Thread(target=self._run_loop, daemon=True).start()

    # ---- commands

    def handle(self, method, target, body):
        with LOCK:
            if self.is_gone:
                return None
            if (method, target) == ("GET", "/inspect"):
                return 200, self.report()
            if (method, target) != ("POST", "/commands"):
                return 404, None
            message = wire.decode(body)
            self.expire_lease()
            if message.get("baton") is None or message.get("tenure") is None:
                return 400, None
            if message["baton"] < self.baton or message["tenure"] != self.tenure:
                self.fleet.record(f"{self.name} refused commands: {message}")
                return 409, self.report()
            self.see_token(message["baton"])
            self.execute(message.get("orders") or [], "direct")
            return 200, self.report()

    def see_token(self, baton):
        if baton > self.baton:
            self.baton = baton
            now = time.monotonic()
            if now - self.token_change_at >= self.fleet.lease_s / 2:
                self.token_change_at = now
                self.change.set()

    def execute(self, orders, how):
        for order in orders:
            key = (order["piece"], order["try"])
            self.fleet.record(f"{self.name} got {order['verb']} {key[0]} try {key[1]} ({how})")
            attempt = self.pieces.get(key)
            if order["verb"] == "run" and attempt is None:
                self.start(*key)
            elif order["verb"] == "stop" and attempt and attempt["status"] in ("fetching", "running"):
                self.end(key, "halted")
            elif order["verb"] == "clear" and attempt and attempt["status"] == "ended":
                del self.pieces[key]
                self.change.set()

    def start(self, task, number):
        attempt = {"status": "fetching", "cause": None, "ready_at": 0.0, "ends_at": None}
        ref, _, index = task.partition("/")
        spec = self.fleet.jobs.get(ref)
        active = [(k, a) for k, a in self.pieces.items() if a["status"] != "ended"]
        self.pieces[(task, number)] = attempt
        self.change.set()
        if spec is None or int(index) >= spec["pieces"]:
            return self.end((task, number), "no_such")
        if any(k[0] == task for k, _ in active):
            return self.end((task, number), "in_use")
        specs = [self.fleet.jobs[k[0].partition("/")[0]] for k, _ in active] + [spec]
        for need, have in (("cpus", "cpus"), ("cards", "cards"), ("ramGb", "ramGb")):
            if sum(s[need] for s in specs) > self.type[have] + 1e-6:
                return self.end((task, number), "no_room")
        fetch_s = 0.0 if spec["bundle"] in self.images else spec["imageGb"] / self.type["pullGbPerS"]
        attempt["ready_at"] = time.monotonic() + fetch_s

    def end(self, key, cause):
        attempt = self.pieces[key]
        was_running = attempt["status"] == "running"
        attempt["status"], attempt["cause"] = "ended", cause
        self.change.set()
        self.fleet.on_end(self, key, cause, was_running)

    def _run_loop(self):
        while not self.is_gone:
            time.sleep(0.02)
            with LOCK:
                if self.is_gone:
                    return
                self.expire_lease()
                now = time.monotonic()
                for key, attempt in list(self.pieces.items()):
                    ref = key[0].partition("/")[0]
                    if attempt["status"] == "fetching" and now >= attempt["ready_at"]:
                        self.images.add(self.fleet.jobs[ref]["bundle"])
                        attempt["status"] = "running"
                        self.change.set()
                        self.fleet.on_start(self, key)
                        run_s = 0.0 if key[0] in self.fleet.results else self.fleet.run_s[ref]
                        attempt["ends_at"] = now + run_s
                        if self.is_sick:
                            self.end(key, "error")
                    elif attempt["status"] == "running" and now >= attempt["ends_at"]:
                        self.fleet.results.add(key[0])
                        self.end(key, "done")

    def expire_lease(self):
        now = time.monotonic()
        if now - self.lease_from <= self.fleet.lease_s:
            return
        self.fleet.record(f"{self.name}: lease expired, {len(self.pieces)} attempts forgotten")
        for key, attempt in list(self.pieces.items()):
            if attempt["status"] != "ended":
                self.end(key, "killed")
        self.pieces.clear()
        self.tenure += 1
        self.lease_from = now
        self.change.set()

    def running(self):
        return [k for k, a in self.pieces.items() if a["status"] in ("fetching", "running")]

    # ---- reports

    def report(self):
        self.tick += 1
        pieces = []
        for (task, number), attempt in self.pieces.items():
            piece = {"piece": task, "try": number, "status": attempt["status"]}
            if attempt["cause"]:
                piece["cause"] = attempt["cause"]
            pieces.append(piece)
        warning = None if self.warning_until is None else max(0.0, self.warning_until - time.monotonic())
        return {"host": self.name, "address": self.address, "hosttype": self.type["sku"], "hall": self.zone,
                "loaners": self.is_spot, "tenure": self.tenure, "tick": self.tick, "baton": self.baton,
                "warningS": warning, "pieces": pieces}

    def _report_loop(self):
        nodes = self.fleet.nodes
        index = random.randrange(len(nodes))
        connection = None
        while not self.is_gone:
            wait_s = self.fleet.report_s * random.uniform(0.75, 1.25)
            self.change.wait(max(0.0, self.last_report_at + wait_s - time.monotonic()))
            time.sleep(max(0.0, self.last_report_at + 0.5 - time.monotonic()))
            next_index, pause_s = index, 0.0
            with LOCK:
                if self.is_gone:
                    return
                self.expire_lease()
                self.change.clear()
                report = self.report()
            sent_at = self.last_report_at = time.monotonic()
            name, address = nodes[index]
            try:
                if self.is_cut:
                    raise OSError("cut")
                if connection is None or connection.address != address:
                    connection = wire.Connection(address, 4.0)
                status, _, body = connection.call("POST", "/agent/beat", report, 4.0)
                if self.is_cut:
                    raise OSError("cut")
            except (OSError, wire.Closed):
                status, body = None, None
                if self.is_cut:
                    # Nothing comes back: the worker waits for its time-out.
                    time.sleep(max(0.0, sent_at + 4.0 - time.monotonic()))
                if connection:
                    connection.close()
                connection = None
            if status == 200:
                with LOCK:
                    if report["tenure"] == self.tenure and (body.get("baton") or 0) >= max(self.baton, 1):
                        self.lease_from = max(self.lease_from, sent_at)
                        self.see_token(body["baton"])
                        self.execute(body.get("orders") or [], f"answer of {name}")
                continue
            foreman = (body or {}).get("foreman") if status == 421 else None
            known = [i for i, (node, _) in enumerate(nodes) if node == foreman]
            if known and known[0] != index:
                next_index, pause_s = known[0], random.uniform(0.0, 0.5)
            else:
                next_index, pause_s = (index + 1) % len(nodes), 1.0
            if connection:
                connection.close()
            connection, index = None, next_index
            time.sleep(pause_s)
            self.last_report_at = min(self.last_report_at, time.monotonic() - 0.5)
            self.change.set()


class Fleet:
    """The cloud with its machines."""

    def __init__(self, record, machine_types, capacity, report_s, lease_s, list_lag_s, boot_s):
        self.record, self.machine_types = record, machine_types
        self.report_s, self.lease_s, self.list_lag_s, self.boot_s = report_s, lease_s, list_lag_s, boot_s
        self.capacity = dict(capacity)  # (type, zone, spot) -> machines left
        self.nodes = []  # (name, address) of the controllers
        self.jobs, self.run_s, self.results = {}, {}, set()
        self.machines = {}  # name -> dict
        self.asks = {}  # ask -> (request, names)
        self.reused_asks = []
        self.starts, self.ends = [], []
        self.last_machine = 0
        self.server = wire.Server(self.handle)
        self.address = self.server.address

    def upload(self, spec, run_s):
        """A user uploads the description of a job; its tasks run for `run_s`."""
        self.jobs[spec["ref"]] = spec
        self.run_s[spec["ref"]] = run_s

    def on_start(self, worker, key):
        self.starts.append((time.monotonic(), key[0], key[1], worker.name))
        self.record(f"{worker.name} starts {key[0]} try {key[1]} (type {worker.type['sku']}, zone {worker.zone}, "
                    f"spot {worker.is_spot})")

    def on_end(self, worker, key, cause, was_running):
        self.ends.append((time.monotonic(), key[0], key[1], worker.name, cause))
        self.record(f"{worker.name} ended {key[0]} try {key[1]}: {cause}")

    def workers(self):
        with LOCK:
            return [m["worker"] for m in self.machines.values() if m["worker"] and not m["gone_at"]]

    def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if (method, path) == ("GET", "/machine_types"):
            return 200, {"hosttypes": self.machine_types}
        if (method, path) == ("GET", "/hosts"):
            return 200, self.list(query)
        request = wire.decode(body)
        if (method, path) == ("POST", "/hosts"):
            return self.rent(request)
        if (method, path) == ("POST", "/hosts/release"):
            return self.release(request)
        return 400, None

    def rent(self, request):
        with LOCK:
            known = self.asks.get(request["ask"])
            if known:
                first, names = known
                if first != request:
                    self.reused_asks.append((first, request))
                self.record(f"cloud: {request} repeats an earlier ask, answered {names}"
                            + ("" if first == request else f"; THE EARLIER ONE WAS {first}"))
                return 200, {"hosts": names}
            pool = (request["hosttype"], request["hall"], request["loaners"])
            count = min(request["howMany"], self.capacity.get(pool, 0), 50)
            if count == 0:
                return 503, {"error": "no capacity"}
            self.capacity[pool] -= count
            names = []
            for _ in range(count):
                self.last_machine += 1
                name = f"vm-{self.last_machine:06}"
                names.append(name)
                machine = {"ref": name, "pool": pool, "at": time.monotonic(), "worker": None, "gone_at": None,
                           "address": "", "up_at": time.monotonic() + self.boot_s}
                self.machines[name] = machine
                threading.Thread(target=self._boot, args=(machine,), daemon=True).start()
            self.asks[request["ask"]] = (request, names)
            self.record(f"cloud: {request} -> {names}")
            return 200, {"hosts": names}

    def _boot(self, machine):
        time.sleep(self.boot_s)
        with LOCK:
            if machine["gone_at"]:
                return
            kind, zone, is_spot = machine["pool"]
            machine_type = next(t for t in self.machine_types if t["sku"] == kind)
            machine["worker"] = Worker(self, machine["ref"], machine_type, zone, is_spot)
            machine["address"] = machine["worker"].address
            self.record(f"cloud: {machine['ref']} is up ({kind}, {zone}, spot {is_spot})")

    def release(self, request):
        with LOCK:
            for name in request["hosts"]:
                machine = self.machines.get(name)
                if machine and not machine["gone_at"]:
                    machine["gone_at"] = time.monotonic()
                    self.capacity[machine["pool"]] += 1
                    if machine["worker"]:
                        worker = machine["worker"]
                        worker.is_gone = True
                        for key in worker.running():
                            worker.end(key, "machine gone")
            self.record(f"cloud: released {request['hosts']}")
            return 200, {}

    def list(self, query):
        after, page = query.get("after", ""), min(int(query.get("page", "500")), 500)
        with LOCK:
            at = time.monotonic() - self.list_lag_s
            listed = [m for n, m in sorted(self.machines.items())
                      if n > after and m["at"] <= at and not (m["gone_at"] and m["gone_at"] <= at)]
            hosts = []
            for machine in listed[:page]:
                kind, zone, is_spot = machine["pool"]
                hosts.append({"ref": machine["ref"], "address": machine["address"] or "127.0.0.1:9", "hosttype": kind,
                              "hall": zone, "loaners": is_spot,
                              "status": "running" if machine["up_at"] <= at else "starting",
                              "ageS": at - machine["at"]})
            return {"hosts": hosts, "truncated": len(listed) > page}
