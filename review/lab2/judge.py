"""The rules, judged by what users were told and what machines ran; and the record of all that happened."""
import time


class Judge:
    def __init__(self, file, settings):
        self.file, self.began = file, time.monotonic()
        self.settings = settings
        self.limits = {t["name"]: t.get("cpus_max") or None for t in settings["teams"]}
        self.cancel_s = settings["workers"]["cancel_s"]
        self.specs = {}  # job -> description, from the first attempt to submit
        self.on_machine = {}  # piece -> {(machine, attempt)}
        self.used = {}  # team -> CPUs
        self.done = {}  # job -> pieces that completed
        self.told = {}  # job -> {"accepted" | "done" | "cancelled": when first told}
        self.asked_to_cancel = {}  # job -> when first asked
        self.broken = []
        self.reported = set()
        self.hall_of = {}  # machine -> zone
        self.starts = self.stops = 0

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def started(self, machine, piece, attempt):
        job = piece.split("/")[0]
        spec = self.specs[job]
        self.starts += 1
        self.note(f"{machine.name} starts {piece} attempt {attempt}")
        others = self.on_machine.setdefault(piece, set())
        if others:
            self.breaks("ran_twice", f"{piece} attempt {attempt} starts on {machine.name} while on {sorted(others)}")
        others.add((machine.name, attempt))
        team = spec["crew"]
        self.used[team] = self.used.get(team, 0.0) + spec["cpus"]
        limit = self.limits.get(team)
        if limit and self.used[team] > limit + 1e-6:
            self.breaks("quota", f"{team} uses {self.used[team]} of {limit}")
        if spec.get("hosttypes") is not None and machine.type["sku"] not in spec["hosttypes"]:
            self.breaks("wrong_place", f"{piece} on type {machine.type['sku']}")
        if spec.get("hall") is not None and machine.hall != spec["hall"]:
            self.breaks("wrong_place", f"{piece} in {machine.hall}")
        if machine.loaners and not spec["loaners"]:
            self.breaks("wrong_place", f"{piece} on a spot machine")
        halls = [self.hall_of[m] for p, at in self.on_machine.items() if p.split("/")[0] == job for m, _ in at]
        if spec.get("samePlace") and len(set(halls)) > 1:
            self.breaks("wrong_place", f"{piece}: samePlace, but tasks in {sorted(set(halls))}")
        if spec.get("apart") and halls.count(machine.hall) > -(-spec["pieces"] // 2):
            self.breaks("wrong_place", f"{piece}: apart, but {halls.count(machine.hall)} tasks in {machine.hall}")
        told = self.told.get(job, {}).get("cancelled")
        if told is not None and self.now() > told + self.cancel_s:
            self.breaks("ran_cancelled", f"{piece} attempt {attempt} starts on {machine.name} "
                        f"{self.now() - told:.1f} s after its user was told that it is cancelled")

    def ended(self, machine, piece, attempt, cause):
        self.note(f"{machine.name} ends {piece} attempt {attempt}: {cause}")
        at = self.on_machine.get(piece, set())
        if (machine.name, attempt) in at:
            at.discard((machine.name, attempt))
            spec = self.specs[piece.split("/")[0]]
            self.used[spec["crew"]] -= spec["cpus"]
        self.stops += cause == "halted"
        if cause == "done":
            self.done.setdefault(piece.split("/")[0], set()).add(piece)

    def check_cancelled(self):
        for piece, at in self.on_machine.items():
            told = self.told.get(piece.split("/")[0], {}).get("cancelled")
            if at and told is not None and self.now() > told + self.cancel_s:
                if ("ran_cancelled", piece) not in self.reported:
                    self.reported.add(("ran_cancelled", piece))
                    self.breaks("ran_cancelled", f"{piece} is on {sorted(at)} {self.now() - told:.1f} s after its user "
                                "was told that it is cancelled")

    def answered(self, job, what, node, sent, status, body):
        """An answer to a user: `what` is submit, poll or cancel; `sent` is when the request was sent."""
        state = body.get("status") if isinstance(body, dict) else None
        self.note(f"node {node} answers {what} {job}: {status} {state} (sent at {sent:.3f})")
        told = self.told.setdefault(job, {})
        before = {key for key, at in told.items() if at < sent}
        if status == 404 and what != "cancel" and "accepted" in before:
            self.breaks("forgotten", f"{job}: {what} answered 404 by node {node}")
        if what == "submit" and status in (400, 422) and "accepted" in before:
            self.breaks("forgotten", f"{job}: repeated submission answered {status} by node {node}")
        if status == 200 and job not in self.specs:
            self.breaks("invented", f"{job}: {what} answered 200 by node {node}")
        if status not in (200, 201):
            return
        if what == "submit" or state in ("queued", "running"):
            told.setdefault("accepted", self.now())
        for final in ("done", "cancelled"):
            if final in before and state != final:
                self.breaks("went_back", f"{job}: called {final}, then {state} by node {node}")
        if state == "cancelled" and job not in self.asked_to_cancel:
            self.breaks("went_back", f"{job}: called cancelled by node {node}, but its user did not cancel it")
        if state == "done" and len(self.done.get(job, ())) < self.specs[job]["pieces"]:
            self.breaks("not_done", f"{job}: called done by node {node} with {len(self.done.get(job, ()))} tasks done")
        if state in ("done", "cancelled"):
            told.setdefault("accepted", self.now())
            told.setdefault(state, self.now())
