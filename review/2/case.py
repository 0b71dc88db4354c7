"""The state service goes down for some seconds just before a leader hands over."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lab"))

import lab as lab_module
from fleet import LOCK

OUTAGE_S = 5.0


def case():
    zones = ("lech-halle", "isar-halle")
    capacity = {(t, z, s): 4 for t in ("lagerbox", "sortbox", "routbox") for z in zones for s in (True, False)}
    lab = lab_module.Lab(FOLDER, lab_module.PAKET, capacity)
    lab.start_controllers()
    node, term = lab.wait_for_leader()
    # All work is in the zone that the leader is not in, so that the leader hands over after a while.
    other_zone = next(zone for zone in zones if zone != lab.zones[node])
    lab.record(f"{node} leads in {lab.zones[node]} with token {term}")

    lab.submit(lab.spec("job-000001", "sortierteam", 1, 2.0, 6.0, guess_s=60.0, hall=other_zone,
                        hosttypes=["lagerbox"], jobclass="scanlauf"), run_s=90.0)
    lab.wait_for("job-000001 runs", lambda: lab.starts_of("job-000001"), 20)
    # The hand-over follows about 15.5 s after the first report of the machine; its request that ends the lease then
    # falls into the outage.
    lab.sleep_until(lab.now() + 14.2)
    if lab.trouble:
        lab.state.begin_outage()
    lab.sleep_until(lab.now() + OUTAGE_S)
    if lab.trouble:
        lab.state.end_outage()
    lab.sleep_until(lab.now() + 8.0)
    lab.record(f"leader: {lab.leader()}")

    lab.submit(lab.spec("job-000002", "routenteam", 1, 4.0, 8.0, guess_s=10.0, hall=other_zone,
                        hosttypes=["routbox"], jobclass="eilrouten", due_s=60.0), run_s=3.0)
    end = lab.now() + 30.0
    while lab.now() < end and not lab.starts_of("job-000002"):
        time.sleep(0.1)
    for ref in ("job-000001", "job-000002"):
        lab.poll(ref)
    broken = []
    with LOCK:
        for first, request in lab.fleet.reused_asks:
            broken.append(f"the request name {first['ask']} was used for {first}, and again for {request}")
        for _, task, attempt, name in lab.fleet.starts:
            spec = lab.fleet.jobs[task.partition("/")[0]]
            kind = lab.fleet.machines[name]["pool"][0]
            if kind not in spec["hosttypes"]:
                broken.append(f"wrong_place: {task} try {attempt} started on {name}, a {kind}; its job allows "
                              f"{spec['hosttypes']}")
    return broken


lab_module.run(case)
