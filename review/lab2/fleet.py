"""The cloud and the workers."""
import asyncio
import random
import time
from urllib.parse import parse_qs, urlsplit

from state import Bucket
from wire import Link, Server, decode


class Machine:
    """A rented machine with its worker."""

    def __init__(self, fleet, name, type_, hall, loaners):
        self.fleet, self.name, self.type, self.hall, self.loaners = fleet, name, type_, hall, loaners
        self.rented_at = time.monotonic()
        self.status = "starting"
        self.is_gone = False
        self.jobs = []
        self.server = None
        self.tenure, self.tick, self.baton = 0, 0, 0
        self.warning_until = None
        self.pieces = {}  # (piece, attempt) -> {"status", "cause", "stored", "job"}
        self.images = set()
        self.is_hung = False
        self.is_deaf = False  # hears no answers and no commands
        self.is_mute = False  # reaches no controller
        self.commands = []  # bodies of all direct commands, as they arrived
        self.command_delay = None  # hook(body) -> seconds, or None
        self.change = asyncio.Event()
        self.baton_at = 0.0

    async def boot(self, after):
        await asyncio.sleep(after)
        if self.is_gone:
            return
        self.server = Server(self.on_request)
        await self.server.start()
        self.status = "running"
        self.new_session()
        self.fleet.judge.note(f"{self.name} ({self.type['sku']}, {self.hall}) is up")
        self.jobs.append(asyncio.create_task(self.report_loop()))
        self.jobs.append(asyncio.create_task(self.lease_loop()))

    def vanish(self):
        """The machine is gone, with all that is on it."""
        if self.is_gone:
            return
        self.is_gone = True
        self.forget_all("machine gone")
        for job in self.jobs:
            job.cancel()
        if self.server:
            self.server.stop()
        self.fleet.judge.note(f"{self.name} is gone")

    def new_session(self):
        self.tenure += 1
        self.tick = 0
        self.lease_from = time.monotonic()

    def forget_all(self, cause):
        for (piece, attempt), entry in self.pieces.items():
            if entry["job"]:
                entry["job"].cancel()
            if entry["status"] == "running":
                self.fleet.judge.ended(self, piece, attempt, cause)
        self.pieces = {}

    async def unhung(self):
        while self.is_hung:
            await asyncio.sleep(0.05)

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.is_hung and time.monotonic() - self.lease_from > self.fleet.workers["lease_s"]:
                self.fleet.judge.note(f"{self.name}: lease expired, session {self.tenure + 1}")
                self.forget_all("lease expired")
                self.new_session()
                self.change.set()

    def report(self):
        self.tick += 1
        pieces = []
        for (piece, attempt), entry in self.pieces.items():
            item = {"piece": piece, "try": attempt, "status": entry["status"]}
            if entry["cause"]:
                item["cause"] = entry["cause"]
            if entry["cause"] == "halted" and entry["stored"]:
                item["stored"] = True
            pieces.append(item)
        left = None if self.warning_until is None else max(0.0, self.warning_until - time.monotonic())
        return {"host": self.name, "address": f"127.0.0.1:{self.server.port}", "hosttype": self.type["sku"],
                "hall": self.hall, "loaners": self.loaners, "tenure": self.tenure, "tick": self.tick,
                "baton": self.baton, "warningS": left, "pieces": pieces}

    async def report_loop(self):
        nodes = list(range(len(self.fleet.fronts)))
        node, link = random.choice(nodes), None
        last = 0.0
        token_at = 0.0
        while True:
            await self.unhung()
            wait = max(0.5 - (time.monotonic() - last), 0)
            await asyncio.sleep(wait)
            self.change.clear()
            sent, tenure, baton = time.monotonic(), self.tenure, self.baton
            last = sent
            body = self.report()
            if self.fleet.on_report:
                self.fleet.on_report(self, body)
            port = self.fleet.front_of(self, node)
            if link is None or link.port != port:
                if link:
                    link.close()
                link = Link(port)
            move = None
            try:
                if self.is_mute:
                    await asyncio.sleep(4.0)
                    raise TimeoutError
                status, data, _ = await link.call("POST", "/agent/beat", body, 4.0)
                if self.is_deaf:
                    await asyncio.sleep(4.0)
                    raise TimeoutError
                await self.unhung()
                if time.monotonic() - sent > 4.0:
                    raise TimeoutError
                if status == 200:
                    answer = decode(data)
                    if tenure == self.tenure and (answer.get("baton") or 0) >= self.baton and answer.get("baton"):
                        self.lease_from = sent
                        self.see(answer["baton"])
                        self.execute(answer.get("orders") or [])
                elif status == 421:
                    foreman = decode(data).get("foreman") if data else None
                    target = self.fleet.names.index(foreman) if foreman in self.fleet.names else None
                    link.close()
                    link = None
                    if target is not None and target != node:
                        node = target
                        await asyncio.sleep(random.random() / 2)
                        continue
                    move = 1.0
                else:
                    move = 1.0
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                move = 1.0
            if move:
                node = (node + 1) % len(nodes)
                await asyncio.sleep(move)
                continue
            period = self.fleet.workers["report_s"] * (0.75 + random.random() / 2)
            try:
                await asyncio.wait_for(self.change.wait(), max(period - (time.monotonic() - sent), 0.01))
            except TimeoutError:
                pass

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            now = time.monotonic()
            if now - self.baton_at > self.fleet.workers["lease_s"] / 2:  # counts as a change no more often than that
                self.baton_at = now
                self.change.set()

    async def on_request(self, method, target, body):
        if self.is_deaf:
            return None
        await self.unhung()
        if method == "GET" and target == "/inspect":
            return 200, self.report()
        if method != "POST" or target != "/commands":
            return 404, None
        message = decode(body)
        if message.get("orders"):
            self.commands.append(body)
        fate = self.command_delay(message) if self.command_delay else None
        if fate is not None:
            asyncio.get_running_loop().call_later(fate, lambda: self.on_commands(message))
            return None
        return self.on_commands(message)

    def on_commands(self, message):
        if "baton" not in message or "tenure" not in message:
            return 400, None
        if self.is_gone:
            return None
        if message["baton"] < self.baton or message["tenure"] != self.tenure:
            return 409, self.report()
        self.see(message["baton"])
        self.execute(message.get("orders") or [])
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            entry = self.pieces.get(key)
            self.fleet.judge.note(f"{self.name} executes {order['verb']} {key[0]} attempt {key[1]}")
            if order["verb"] == "run":
                if entry is None:
                    self.run(*key)
            elif order["verb"] == "clear":
                if entry and entry["status"] == "ended":
                    del self.pieces[key]
            elif entry and entry["status"] != "ended":
                self.end(key, "halted")
        if orders:
            self.change.set()

    def run(self, piece, attempt):
        job, _, index = piece.partition("/")
        spec = self.fleet.judge.specs.get(job)
        entry = {"status": "fetching", "cause": None, "stored": False, "job": None}
        cause = None
        if spec is None or int(index) >= spec["pieces"]:
            cause = "no_such"
        elif any(p == piece and e["status"] != "ended" for (p, _), e in self.pieces.items()):
            cause = "in_use"
        else:
            active = [self.fleet.judge.specs[p.split("/")[0]] for (p, _), e in self.pieces.items()
                      if e["status"] != "ended"]
            if (sum(s["cpus"] for s in active) + spec["cpus"] > self.type["cpus"] + 1e-6
                    or sum(s["ramGb"] for s in active) + spec["ramGb"] > self.type["ramGb"] + 1e-6):
                cause = "no_room"
        self.pieces[(piece, attempt)] = entry
        if cause:
            entry.update(status="ended", cause=cause)
            return
        entry["job"] = asyncio.create_task(self.perform(piece, attempt, spec, entry))

    async def perform(self, piece, attempt, spec, entry):
        if spec["bundle"] not in self.images:
            await asyncio.sleep(spec["imageGb"] / self.type["pullGbPerS"])
            self.images.add(spec["bundle"])
        await self.unhung()
        entry["status"] = "running"
        self.fleet.judge.started(self, piece, attempt)
        self.change.set()
        if piece in self.fleet.results:
            await asyncio.sleep(0)
        else:
            left = self.fleet.run_time(spec, piece)
            while left > 0:
                step = min(left, 0.1)
                await asyncio.sleep(step)
                if not self.is_hung:
                    left -= step
        await self.unhung()
        entry["job"] = None
        if spec.get("broken"):
            self.end((piece, attempt), "error")
        else:
            self.fleet.results.add(piece)
            self.end((piece, attempt), "done")

    def end(self, key, cause):
        entry = self.pieces[key]
        was_running = entry["status"] == "running"
        entry.update(status="ended", cause=cause)
        if entry["job"]:
            entry["job"].cancel()
            entry["job"] = None
        if was_running:
            self.fleet.judge.ended(self, *key, cause)
        self.change.set()


class Fleet:
    """The cloud, and the machines that are rented from it."""

    def __init__(self, judge, settings, types, capacity, boot_factor=(0.6, 1.5)):
        self.judge, self.workers, self.types = judge, settings["workers"], types
        self.capacity = dict(capacity)  # (sku, hall, loaners) -> machines that may exist
        self.lag = settings["cloud"]["list_lag_s"]
        self.calls = Bucket(settings["cloud"]["rps"])
        self.calls.level = self.calls.rate * 2
        self.boot_factor = boot_factor
        self.machines, self.asks, self.results = {}, {}, set()
        self.last_machine = 0
        self.history = []  # (time, list of machines as the cloud saw them)
        self.is_out = False
        self.on_report = None  # hook(machine, report), for late copies
        self.never_up = 0  # how many of the next machines stay `starting`
        self.fronts, self.names = [], []
        self.run_times = {}
        self.server = Server(self.answer)
        self.jobs = []

    async def start(self):
        await self.server.start()
        self.jobs.append(asyncio.create_task(self.keep_history()))
        return self.server.port

    def stop(self):
        for job in self.jobs:
            job.cancel()
        for machine in self.machines.values():
            machine.vanish()
        self.server.stop()

    def front_of(self, machine, node):
        return self.fronts[node]

    def run_time(self, spec, piece):
        return self.run_times.setdefault(piece, spec.get("run_s", spec["guessS"]))

    def rent(self, sku, hall, loaners, boot_s=None):
        type_ = next(t for t in self.types if t["sku"] == sku)
        self.last_machine += 1
        machine = Machine(self, f"vm-{self.last_machine:06}", type_, hall, loaners)
        self.machines[machine.name] = machine
        self.judge.hall_of[machine.name] = hall
        boot_s = type_["startupS"] * random.uniform(*self.boot_factor) if boot_s is None else boot_s
        if self.never_up > 0:
            self.never_up -= 1
            self.judge.note(f"{machine.name} will never come up")
            return machine
        machine.jobs.append(asyncio.create_task(machine.boot(boot_s)))
        return machine

    async def keep_history(self):
        while True:
            now = time.monotonic()
            listed = [{"ref": m.name, "address": f"127.0.0.1:{m.server.port}" if m.server else "127.0.0.1:1",
                       "hosttype": m.type["sku"], "hall": m.hall, "loaners": m.loaners, "status": m.status,
                       "ageS": now - m.rented_at} for m in self.machines.values() if not m.is_gone]
            self.history.append((now, listed))
            while len(self.history) > 2 and self.history[1][0] < now - self.lag:
                self.history.pop(0)
            await asyncio.sleep(0.25)

    async def answer(self, method, target, body):
        await asyncio.sleep(0.05)
        if self.is_out:
            return 503, {"error": "trouble"}
        if not self.calls.take(1):
            return 429, None
        path = urlsplit(target).path
        if method == "GET" and path == "/machine_types":
            return 200, {"hosttypes": self.types}
        if method == "GET" and path == "/hosts":
            query = {k: v[-1] for k, v in parse_qs(urlsplit(target).query).items()}
            after, page = query.get("after", ""), min(int(query.get("page", 500)), 500)
            listed = [m for m in self.history[0][1] if m["ref"] > after]
            return 200, {"hosts": listed[:page], "truncated": len(listed) > page}
        message = decode(body)
        if path == "/hosts/release":
            for name in message["hosts"]:
                if name in self.machines:
                    self.judge.note(f"cloud: release of {name}")
                    self.machines[name].vanish()
            return 200, {}
        if path == "/hosts":
            if message["ask"] in self.asks:
                return 200, {"hosts": self.asks[message["ask"]]}
            kind = (message["hosttype"], message["hall"], bool(message["loaners"]))
            present = [m for m in self.machines.values() if not m.is_gone]
            used = sum(kind == (m.type["sku"], m.hall, m.loaners) for m in present)
            count = min(message["howMany"], self.capacity.get(kind, 0) - used)
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = [self.rent(*kind).name for _ in range(count)]
            self.judge.note(f"cloud: rental {message['ask']} of {message['howMany']} {kind}: {names}")
            self.asks[message["ask"]] = names
            return 200, {"hosts": names}
        return 404, None
