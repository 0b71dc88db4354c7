"""After a burst of small jobs, a large job has to wait beside a machine with room for it."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lab"))

import lab as lab_module
from fleet import LOCK

WAIT_LIMIT_S = 90.0
# `eilrouten` come 0.0602 times a second; four times as often is one job in 4.15 s.
BURST_INTERVAL_S = 4.2
BURST = {"job-000100": 14, "job-000101": 2}  # job: tasks
# Machine types by zone and the spot capacity, as in the site file.
HALLS = {"lagerbox": ["isar-halle"], "sortbox": ["isar-halle"], "routbox": ["lech-halle", "isar-halle"]}
CAPACITY = {
    ("lagerbox", "isar-halle", False): 9, ("lagerbox", "isar-halle", True): 15,
    ("sortbox", "isar-halle", False): 3, ("sortbox", "isar-halle", True): 12,
    ("routbox", "lech-halle", False): 1, ("routbox", "lech-halle", True): 4,
    ("routbox", "isar-halle", False): 1, ("routbox", "isar-halle", True): 3,
}


def case():
    types = [{**t, "halls": HALLS[t["sku"]]} for t in lab_module.PAKET_TYPES]
    lab = lab_module.Lab(FOLDER, {**lab_module.PAKET, "types": types}, CAPACITY)
    lab.start_controllers()
    lab.wait_for_leader()
    if lab.trouble:
        # Jobs of a class come four times as often for some seconds.
        for ref, tasks in BURST.items():
            next_at = lab.now() + BURST_INTERVAL_S
            lab.submit(lab.spec(ref, "zustellteam", tasks, 2.0, 4.6, urgency="high", guess_s=40.0, due_s=90.0,
                                jobclass="eilrouten"), run_s=5.0)
            lab.sleep_until(next_at)
        lab.wait_for("the burst is done", lambda: len(lab.fleet.results) == sum(BURST.values()), 25)
        lab.record("the burst is over")
    # Two jobs of one task each, which fit a sortbox or a routbox, but have too much memory for a lagerbox.
    lab.submit(lab.spec("job-000001", "sortierteam", 1, 5.0, 33.0, guess_s=120.0, due_s=230.0, jobclass="scanlauf"),
               run_s=180.0)
    lab.wait_for("job-000001 runs", lambda: lab.starts_of("job-000001"), 30)
    with LOCK:
        worker = next(w for w in lab.fleet.workers() if w.name == lab.starts_of("job-000001")[0][3])
    time.sleep(2.0)
    lab.submit(lab.spec("job-000002", "sortierteam", 1, 6.0, 33.0, guess_s=20.0, due_s=80.0, jobclass="scanlauf"),
               run_s=5.0)
    waits_from = lab.now()
    broken = []
    next_poll = 0.0
    while not broken and not lab.starts_of("job-000002") and lab.now() < waits_from + WAIT_LIMIT_S + 4.0:
        time.sleep(0.1)
        with LOCK:
            specs = [lab.fleet.jobs[task.partition("/")[0]] for task, _ in worker.running()]
            free = [worker.type[name] - sum(s[name] for s in specs) for name in ("cpus", "ramGb")]
            if worker.is_gone or free[0] < 6.0 or free[1] < 33.0:
                waits_from = lab.now()
        waited = lab.now() - waits_from
        if waited > WAIT_LIMIT_S:
            broken.append(f"job-000002 was left waiting for {waited:.1f} s after the burst, while {worker.name}, a "
                          f"{worker.type['sku']}, had {free[0]} CPUs and {free[1]} GB free and its team used 5 of its "
                          f"888 CPUs")
        if lab.now() >= next_poll:
            next_poll = lab.now() + 5.0
            lab.poll("job-000002")
    return broken


lab_module.run(case)
