"""A service is not placed as long as a job of its size finds no room, though it may use a machine that has room."""
import asyncio
import json
import sys
from pathlib import Path

sys.dont_write_bytecode = True
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))
from lab import MUNICH, TROUBLE, Lab, main  # noqa: E402

CAPACITY = {("lagerbox", "isar-halle", False): 9, ("lagerbox", "isar-halle", True): 15,
            ("sortbox", "isar-halle", False): 3, ("sortbox", "isar-halle", True): 12,
            ("routbox", "isar-halle", False): 1, ("routbox", "isar-halle", True): 3}
LONGEST_WAIT_S = 90.0
SIZE = {"cpus": 1.0, "ramGb": 3.2, "imageGb": 1.0}


async def case():
    settings = json.loads(json.dumps(MUNICH["settings"]))
    settings["teams"].append({"name": "gastspedition", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0})
    async with Lab(HERE, MUNICH, CAPACITY, settings=settings) as lab:
        box = lab.fleet.rent("routbox", "isar-halle", False, 0.5)
        await lab.wait("a leader", lambda: lab.leader() is not None, 20)
        large = await lab.submit(jobclass="scanlauf", cpus=20.0, ramGb=24.0, guessS=100.0, run_s=300.0)
        await lab.wait("the large task", lambda: lab.running(large), 20)
        if TROUBLE:
            lab.fleet.never_up = 1
        await lab.submit(jobclass="scanlauf", guessS=50.0, **SIZE)
        if TROUBLE:
            await lab.wait("a rental", lambda: lab.fleet.never_up == 0, 20)
        over = lab.judge.now()
        lab.judge.note("the trouble is over")
        service = await lab.submit(jobclass="sendungsdienst", crew="gastspedition", shape="service", urgency="critical",
                                   guessS=0.0, run_s=1000.0, **SIZE)
        asked = lab.judge.now()
        while lab.judge.now() < asked + LONGEST_WAIT_S and not lab.running(service):
            await asyncio.sleep(0.1)
        if not lab.running(service):
            lab.judge.breaks("left_waiting", f"{service} waits {lab.judge.now() - asked:.1f} s, while {box.name} "
                             "(routbox) has 12 CPUs and 104 GB free")
        while lab.judge.now() < 113 and not lab.running(service):
            await asyncio.sleep(0.1)
        if lab.running(service):
            lab.judge.note(f"{service} began {lab.judge.now() - asked:.1f} s after it was accepted")
        return lab.judge.broken


main(case)
