"""A copy of a direct `run` arrives after its leader has ended and after the worker was told to forget the attempt."""
import asyncio
import sys
from pathlib import Path

sys.dont_write_bytecode = True
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))
from lab import MUNICH, TROUBLE, CannotRun, Lab, main  # noqa: E402
from wire import Link, decode  # noqa: E402

CAPACITY = {("lagerbox", "isar-halle", False): 9, ("sortbox", "isar-halle", False): 3}


async def case():
    async with Lab(HERE, MUNICH, CAPACITY) as lab:
        machine = lab.fleet.rent("lagerbox", "isar-halle", False, 0.5)
        await lab.wait("a settled leader", lambda: lab.has_settled_leader("isar-halle"), 40)
        # A job that runs all the time, so that the machine is needed and kept.
        await lab.submit(hosttypes=["lagerbox"], guessS=180.0)
        await lab.wait("the long task", lambda: lab.judge.starts == 1, 20)

        def direct_run(job):
            bodies = [b for b in machine.commands for o in decode(b)["orders"]
                      if o["verb"] == "run" and o["piece"].startswith(job)]
            return bodies[0] if bodies else None

        for _ in range(5):  # until one is started by a direct command
            job = await lab.submit(hosttypes=["lagerbox"], guessS=100.0)
            await lab.wait("the task", lambda: lab.running(job), 20)
            await asyncio.sleep(0.5)
            await lab.persist("cancel", job)
            await lab.wait("the end of the task", lambda: not lab.running(job), 20)
            copy = direct_run(job)
            if copy:
                break
        else:
            raise CannotRun("no task was started by a direct command")
        await lab.wait("the clear", lambda: not any(p.startswith(job) for p, _ in machine.pieces), 85)
        lab.judge.note(f"{machine.name} has forgotten {job}")
        if TROUBLE:
            leader = lab.leader()
            lab.kill(leader)
            lab.judge.note(f"{machine.name}: a late copy of the ended controller's message arrives: {decode(copy)}")
            link = Link(machine.server.port)
            status, _, _ = await link.call("POST", "/commands", raw=copy)
            link.close()
            lab.judge.note(f"{machine.name} answers the copy: {status}")
            await asyncio.sleep(lab.site["back_s"])
            lab.start(leader)
        await asyncio.sleep(8)
        await lab.request("poll", job, lab.leader() or 0)
        return lab.judge.broken


main(case)
