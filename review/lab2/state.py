"""The state service: keys with stamps, transactions, leases and watches. Every controller has a port of its own, so
that a case can treat the controllers differently."""
import asyncio
import bisect
import json
import time
from urllib.parse import parse_qs, urlsplit

from wire import Server, decode

KEPT_CHANGES = 10_000
MAX_PAGE_BYTES = 512 * 1024


class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class State:
    def __init__(self, limits):
        self.limits = limits
        self.keys = {}  # path -> (data, stamp, hold)
        self.order = []
        self.rev = 0
        self.changes = []  # (rev, path, data or None)
        self.leases = {}  # id -> [ttl_s, expires_at, set of paths]
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.is_out = False
        self.refused = set()  # numbers of the controllers that are refused
        self.silent = set()  # numbers of the controllers that the service does not answer and does not hear
        self.value_bytes = limits["value_kb"] * 1024
        self.on_txn = None  # async hook(controller, body) -> None, "lose" (the answer), or seconds to be late
        self.servers = []
        self.jobs = []

    async def start(self, controllers):
        ports = []
        for number in range(controllers):
            server = Server(lambda m, t, b, number=number: self.answer(number, m, t, b))
            ports.append(await server.start())
            self.servers.append(server)
        self.jobs.append(asyncio.create_task(self._expire()))
        return ports

    def stop(self):
        for job in self.jobs:
            job.cancel()
        for server in self.servers:
            server.stop()

    def start_outage(self):
        self.is_out = True

    def end_outage(self):
        self.is_out = False
        for lease in self.leases.values():
            lease[1] = time.monotonic() + lease[0]

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.is_out:
                continue
            now = time.monotonic()
            for number in [n for n, lease in self.leases.items() if lease[1] < now]:
                await self.end_lease(number)

    async def end_lease(self, number):
        _, _, paths = self.leases.pop(number)
        if paths:
            await self.apply([{"remove": path} for path in sorted(paths)])

    async def apply(self, changes):
        self.rev += 1
        for change in changes:
            path = change.get("set") or change.get("remove")
            old = self.keys.get(path)
            if old and old[2] in self.leases:
                self.leases[old[2]][2].discard(path)
            if "set" in change:
                if old is None:
                    bisect.insort(self.order, path)
                self.keys[path] = (change.get("data"), self.rev, change.get("hold"))
                if change.get("hold") is not None:
                    self.leases[change["hold"]][2].add(path)
                self.changes.append((self.rev, path, change.get("data")))
            elif old is not None:
                del self.keys[path]
                self.order.pop(bisect.bisect_left(self.order, path))
                self.changes.append((self.rev, path, None))
        del self.changes[:-KEPT_CHANGES]
        async with self.changed:
            self.changed.notify_all()
        return self.rev

    async def answer(self, controller, method, target, body):
        if controller in self.silent:
            return None
        await asyncio.sleep(0.002)
        parts = urlsplit(target)
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        if self.is_out or controller in self.refused:
            return 503, {"error": "unavailable"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        path = parts.path
        if method == "GET" and path == "/changes":
            return await self.watch(controller, query)
        if method == "GET" and path == "/kv":
            return self.list(query)
        if method == "GET" and path.startswith("/kv/"):
            item = self.keys.get(path[4:])
            if item is None:
                return 404, {"ledgerRev": self.rev}
            return 200, {"path": path[4:], "data": item[0], "stamp": item[1], "hold": item[2]}
        if method == "POST" and path == "/txn":
            return await self.txn(controller, decode(body))
        if method == "POST" and path == "/grants":
            ttl = decode(body)["ttlMs"]
            if not 100 <= ttl <= 600_000:
                return 400, {"error": "ttl"}
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl / 1000, time.monotonic() + ttl / 1000, set()]
            return 200, {"hold": self.last_lease}
        if path.startswith("/grants/"):
            number = int(path.split("/")[2])
            lease = self.leases.get(number)
            if lease is None:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_lease(number)
            else:
                lease[1] = time.monotonic() + lease[0]
            return 200, {}
        return 400, {"error": "malformed"}

    def list(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        at = max(bisect.bisect_left(self.order, prefix), bisect.bisect_right(self.order, after) if after else 0)
        pairs, size, limit = [], 0, min(int(query.get("page", 1000)), 1000)
        more = False
        for path in self.order[at:]:
            if not path.startswith(prefix):
                break
            data, stamp, hold = self.keys[path]
            size += len(str(data)) + len(path) + 40
            if len(pairs) >= limit or size > MAX_PAGE_BYTES and pairs:
                more = True
                break
            pairs.append({"path": path, "data": data, "stamp": stamp, "hold": hold})
        return 200, {"pairs": pairs, "truncated": more, "ledgerRev": self.rev}

    async def txn(self, controller, txn):
        changes = txn.get("apply") or []
        if len(changes) > self.limits["txn_ops"] or len(txn.get("if") or []) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too large"}
        if any(len(json.dumps(c["data"], separators=(",", ":"))) > self.value_bytes for c in changes if "set" in c):
            return 400, {"error": "a value is too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        fate = await self.on_txn(controller, txn) if self.on_txn else None
        if isinstance(fate, (int, float)):
            asyncio.get_running_loop().call_later(fate, lambda: asyncio.create_task(self.commit(txn)))
            return None
        result = await self.commit(txn)
        return None if fate == "lose" else result

    async def commit(self, txn):
        changes = txn.get("apply") or []
        if any(c.get("hold") is not None and c["hold"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        conditions = txn.get("if") or []
        failed = [c["path"] for c in conditions if self.keys.get(c["path"], (0, 0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.rev}
        return 200, {"ledgerRev": await self.apply(changes) if changes else self.rev}

    async def watch(self, controller, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("holdMs", 0)), 60_000) / 1000
        while True:
            if len(self.changes) == KEPT_CHANGES and after < self.changes[0][0] - 1:
                return 410, {"ledgerRev": self.rev}
            is_served = not (self.is_out or controller in self.refused)
            news = [(r, p, d) for r, p, d in self.changes if r > after and p.startswith(prefix)] if is_served else []
            left = until - time.monotonic()
            if news or is_served and left <= 0:
                events = [{"remove": p, "stamp": r} if d is None else {"set": p, "data": d, "stamp": r}
                          for r, p, d in news]
                return 200, {"ledgerRev": self.rev, "news": events}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(left, 0.1))
            except TimeoutError:
                pass
