"""A start command is lost while its machine has no network, and the task is preempted meanwhile."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lab"))

import lab as lab_module
from fleet import LOCK

WAIT_LIMIT_S = 90.0
CUT_S = 6.0


def case():
    # One machine fits and can be rented: a big-mixer. Both jobs below fit only that type.
    lab = lab_module.Lab(FOLDER, lab_module.TINTWORKS, {("big-mixers", "harbour-zone", False): 0,
                                                        ("big-mixers", "harbour-zone", True): 1})
    lab.start_controllers()
    lab.wait_for_leader()
    team = "formula-desk"
    # A first job brings the machine up.
    lab.submit(lab.spec("job-000001", team, 1, 8.0, 29.0, guess_s=10.0), run_s=0.3)
    lab.wait_for("job-000001 is done", lambda: "job-000001/0" in lab.fleet.results, 20)
    [worker] = lab.fleet.workers()
    lab.wait_for("the end is reported", lambda: (lab.poll("job-000001")[1] or {}).get("status") == "done", 10)
    time.sleep(0.3)

    if lab.trouble:
        # The machine loses the network for some seconds; connections are reset at the end.
        lab.record(f"{worker.name} loses the network")
        worker.is_cut = True
        worker.proxy.cut()
    cut_at = lab.now()
    lab.submit(lab.spec("job-000002", team, 1, 12.0, 60.0, urgency="normal", guess_s=20.0), run_s=5.0)
    time.sleep(1.0)
    lab.submit(lab.spec("job-000003", team, 1, 12.0, 60.0, urgency="high", guess_s=20.0, jobclass="rush-tints"),
               run_s=5.0)
    lab.sleep_until(cut_at + CUT_S)
    if lab.trouble:
        worker.proxy.heal_with_resets()
        worker.is_cut = False
        lab.record(f"{worker.name} has the network again; connections were reset")
    over_at = lab.now()

    waiting = {"job-000002", "job-000003"}
    idle_since = {}
    broken = []
    next_poll = 0.0
    while waiting and not broken and lab.now() < over_at + WAIT_LIMIT_S + 6.0:
        time.sleep(0.1)
        with LOCK:
            running = worker.running()
            gone = worker.is_gone
        for ref in sorted(waiting):
            if lab.starts_of(ref):
                waiting.discard(ref)
                continue
            # The job waits while the machine, which fits, is empty.
            if running or gone:
                idle_since[ref] = lab.now()
            waited = lab.now() - max(over_at, idle_since.get(ref, 0.0))
            if waited > WAIT_LIMIT_S:
                broken.append(f"{ref} was left waiting for {waited:.1f} s after the trouble was over, while "
                              f"{worker.name} fitted and was empty and the team has no limit")
        if lab.now() >= next_poll:
            next_poll = lab.now() + 5.0
            for ref in ("job-000002", "job-000003"):
                lab.poll(ref)
    if waiting and not broken:
        raise lab_module.CannotRun("the jobs waited, but not beside an empty machine for 90 s")
    return broken


lab_module.run(case)
