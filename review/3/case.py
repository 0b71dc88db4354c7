"""A burst of small jobs in one zone brings up a cheap machine there; a job bound to the other zone then has to wait."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lab"))

import lab as lab_module
from fleet import LOCK

WAIT_LIMIT_S = 90.0
# The class comes 0.0602 times a second; four times as often is one job in 4.15 s.
BURST_JOBS = 3
BURST_INTERVAL_S = 4.2


def case():
    zones = ("lech-halle", "isar-halle")
    capacity = {(t, z, s): 4 for t in ("lagerbox", "sortbox", "routbox") for z in zones for s in (True, False)}
    lab = lab_module.Lab(FOLDER, lab_module.PAKET, capacity)
    lab.start_controllers()
    lab.wait_for_leader()
    # A long task brings up a large machine in isar-halle and takes a small part of it.
    types = ["sortbox", "routbox"]
    lab.submit(lab.spec("job-000001", "sortierteam", 1, 2.0, 6.0, guess_s=120.0, hall="isar-halle", hosttypes=types,
                        jobclass="scanlauf"), run_s=300.0)
    lab.wait_for("job-000001 runs", lambda: lab.starts_of("job-000001"), 20)
    [worker] = lab.fleet.workers()
    if lab.trouble:
        # Jobs of a class come four times as often for some seconds, and each is done soon.
        refs = [f"job-{100 + i:06}" for i in range(BURST_JOBS)]
        for ref in refs:
            next_at = lab.now() + BURST_INTERVAL_S
            lab.submit(lab.spec(ref, "zustellteam", 1, 2.0, 4.6, urgency="high", guess_s=3.0, due_s=16.0,
                                hall="lech-halle", jobclass="eilrouten"), run_s=2.0)
            lab.sleep_until(next_at)
        lab.wait_for("the burst is done", lambda: all(f"{ref}/0" in lab.fleet.results for ref in refs), 20)
    time.sleep(2.0)
    lab.record("the burst is over")
    lab.submit(lab.spec("job-000002", "routenteam", 1, 4.0, 8.0, guess_s=20.0, due_s=50.0, hall="isar-halle",
                        hosttypes=types, jobclass="scanlauf"), run_s=2.0)
    waits_from = lab.now()
    broken = []
    next_poll = 0.0
    while not broken and not lab.starts_of("job-000002") and lab.now() < waits_from + WAIT_LIMIT_S + 4.0:
        time.sleep(0.1)
        with LOCK:
            used = sum(lab.fleet.jobs[task.partition("/")[0]]["cpus"] for task, _ in worker.running())
            if worker.is_gone or used + 4.0 > worker.type["cpus"]:
                waits_from = lab.now()
        waited = lab.now() - waits_from
        if waited > WAIT_LIMIT_S:
            broken.append(f"job-000002 was left waiting for {waited:.1f} s after the burst, while {worker.name}, a "
                          f"{worker.type['sku']} in {worker.zone}, had {worker.type['cpus'] - used} CPUs free and its "
                          f"team used nothing of its 552 CPUs")
        if lab.now() >= next_poll:
            next_poll = lab.now() + 5.0
            lab.poll("job-000002")
    return broken


lab_module.run(case)
