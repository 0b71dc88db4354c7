"""A stand-in of the state service. See "Controller nodes -> state service" in the protocol."""

import json
import threading
import time

import wire

KEPT_CHANGES = 10_000


class Bucket:
    """A limit per second that allows bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateService:
    def __init__(self, record, rps, write_rps, value_kb, txn_ops):
        self.record = record
        self.lock = threading.Condition()
        self.revision = 0
        self.entries = {}  # key -> (value, version, lease)
        self.leases = {}  # id -> [ttl, expires at]
        self.last_lease = 0
        self.changes = []
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        # Decides whether a request gets no answer and is not executed: `drop(method, target, body)`.
        self.drop = None
        # An outage: every request gets 503, open watches wait, and afterwards all leases have their full time again.
        self.is_down = False
        self.server = wire.Server(self.handle)
        self.address = self.server.address
        threading.Thread(target=self._expire, daemon=True).start()

    def value(self, key):
        with self.lock:
            entry = self.entries.get(key)
            return entry and entry[0]

    def keys(self, prefix):
        with self.lock:
            return sorted(key for key in self.entries if key.startswith(prefix))

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                if self.is_down:
                    continue
                now = time.monotonic()
                for lease in [i for i, (_, at) in self.leases.items() if at <= now]:
                    self._end_lease(lease)

    def begin_outage(self):
        self.record("state service: down")
        with self.lock:
            self.is_down = True

    def end_outage(self):
        with self.lock:
            for lease in self.leases.values():
                lease[1] = time.monotonic() + lease[0]
            self.is_down = False
            self.lock.notify_all()
        self.record("state service: up again")

    def _end_lease(self, lease):
        self.leases.pop(lease)
        for key in [k for k, entry in self.entries.items() if entry[2] == lease]:
            self.revision += 1
            self._delete(key)

    def _log(self, change):
        self.changes.append((self.revision, change))
        del self.changes[:-KEPT_CHANGES]
        self.lock.notify_all()

    def _delete(self, key):
        if self.entries.pop(key, None) is not None:
            self._log({"remove": key, "stamp": self.revision})

    def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        value = wire.decode(body)
        with self.lock:
            if self.is_down:
                if method == "DELETE" or path == "/txn":
                    self.record(f"state service: {method} {path} refused with 503")
                return 503, {"error": "trouble"}
            if self.drop and self.drop(method, path, value):
                return None
            if not self.requests.take(1):
                return 429, None
            if method == "GET" and path == "/changes":
                return self._watch(query)
            if method == "GET" and path == "/kv":
                return self._list(query)
            if method == "GET" and path.startswith("/kv/"):
                key = path[len("/kv/"):]
                if key not in self.entries:
                    return 404, {"ledgerRev": self.revision}
                return 200, self._item(key)
            if method == "POST" and path == "/txn":
                return self._txn(value)
            if path.startswith("/grants"):
                return self._lease(method, path, value)
            return 400, None

    def _item(self, key):
        value, version, lease = self.entries[key]
        return {"path": key, "data": value, "stamp": version, "hold": lease}

    def _list(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        page = min(int(query.get("page", "1000")), 1000)
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        pairs = [self._item(key) for key in keys[:page]]
        return 200, {"pairs": pairs, "truncated": len(keys) > page, "ledgerRev": self.revision}

    def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("holdMs", "0")) / 1000
        while True:
            if self.changes and after < self.changes[0][0] - 1 and len(self.changes) >= KEPT_CHANGES:
                return 410, None
            news = [c for revision, c in self.changes
                    if revision > after and (c.get("set") or c.get("remove")).startswith(prefix)]
            left = until - time.monotonic()
            if self.is_down:
                self.lock.wait(1.0)
                continue
            if news or left <= 0:
                return 200, {"ledgerRev": self.revision, "news": news}
            self.lock.wait(left)

    def _txn(self, txn):
        conditions, changes = txn.get("if") or [], txn.get("apply") or []
        sizes = [len(json.dumps(c["data"], separators=(",", ":"))) for c in changes if "set" in c]
        if (len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops
                or any(size > self.value_bytes for size in sizes)
                or len(json.dumps(txn, separators=(",", ":"))) > 65536):
            return 400, {"error": "too large"}
        if not self.writes.take(len(changes)):
            return 429, None
        if any(c.get("hold") and c["hold"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        version = lambda key: self.entries[key][1] if key in self.entries else 0
        failed = [c["path"] for c in conditions if version(c["path"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "set" in change:
                key = change["set"]
                self.entries[key] = (change["data"], self.revision, change.get("hold"))
                self._log({"set": key, "data": change["data"], "stamp": self.revision})
            else:
                self._delete(change["remove"])
        return 200, {"ledgerRev": self.revision}

    def _lease(self, method, path, value):
        parts = path.split("/")
        if method == "POST" and len(parts) == 2:
            self.last_lease += 1
            ttl = value["ttlMs"] / 1000
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"hold": self.last_lease}
        lease = int(parts[2])
        if lease not in self.leases:
            return 404, None
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {}
