"""A copy of a direct `run` arrives at a machine with many ended attempts, while the task runs on another one."""
import asyncio
import json
import sys
from pathlib import Path

sys.dont_write_bytecode = True
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))
from lab import MUNICH, TROUBLE, CannotRun, Lab, main  # noqa: E402
from wire import Link, decode  # noqa: E402

CAPACITY = {("routbox", "isar-halle", False): 1, ("sortbox", "isar-halle", False): 1}


def direct_runs(machine, job):
    """The direct commands that start tasks of the job, as they arrived, and how many tasks they start."""
    bodies = [(body, sum(o["verb"] == "run" and o["piece"].startswith(job) for o in decode(body)["orders"]))
              for body in machine.commands]
    return [body for body, count in bodies if count], sum(count for _, count in bodies)


async def case():
    settings = json.loads(json.dumps(MUNICH["settings"]))
    settings["teams"].append({"name": "gastspedition", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0})
    async with Lab(HERE, MUNICH, CAPACITY, settings=settings) as lab:
        first = lab.fleet.rent("routbox", "isar-halle", False, 0.5)
        await lab.wait("a settled leader", lambda: lab.has_settled_leader("isar-halle"), 40)
        # A job that was submitted with a mistake: its task fails after 25 s wherever it runs.
        for _ in range(3):  # until its first attempt is started by a direct command
            job = await lab.submit(jobclass="scanlauf", cpus=1.0, ramGb=3.0, guessS=25.0, broken=True)
            await lab.wait("the task", lambda: lab.running(job), 20)
            copies, _ = direct_runs(first, job)
            if copies:
                break
            await lab.persist("cancel", job)
        else:
            raise CannotRun("no task was started by a direct command")
        # A long task that keeps the machine, and small ones of the guest team; only a routbox is allowed.
        await lab.submit(jobclass="scanlauf", cpus=1.0, ramGb=3.0, guessS=180.0, hosttypes=["routbox"])

        async def small_tasks():
            """An array of 116 tasks of 0.25 CPUs, which all end at about the same time."""
            array = await lab.submit(jobclass="grossmatrix", crew="gastspedition", urgency="best_effort", pieces=116,
                                     cpus=0.25, ramGb=0.9, imageGb=0.4, bundle="img-02", guessS=4.0,
                                     hosttypes=["routbox"])
            await lab.wait("the small tasks", lambda: len(lab.judge.done.get(array, ())) == 116, 40)
            return array
        for _ in range(3):  # until most of them are started by direct commands, so that they are kept in the list
            array = await small_tasks()
            if direct_runs(first, array)[1] >= 90:
                break
        else:
            raise CannotRun("the small tasks were not started by direct commands")
        second = lab.fleet.rent("sortbox", "isar-halle", False, 0.5)

        def runs_elsewhere():
            return [m for m, a in lab.judge.on_machine.get(f"{job}/0", ()) if a > 1] == [second.name]
        await lab.wait("the next attempt", runs_elsewhere, 60)
        lab.judge.note(f"{first.name} lists {len(first.pieces)} attempts")
        await small_tasks()
        lab.judge.note(f"{first.name} lists {len(first.pieces)} attempts")
        await lab.wait("the clear", lambda: not any(p.startswith(job) for p, _ in first.pieces), 15)
        if not runs_elsewhere():
            raise CannotRun("the next attempt does not run any more")
        if TROUBLE:
            leader = lab.leader()
            lab.kill(leader)
            lab.judge.note(f"{first.name}: a late copy of the ended controller's message arrives: {decode(copies[0])}")
            link = Link(first.server.port)
            status, _, _ = await link.call("POST", "/commands", raw=copies[0])
            link.close()
            lab.judge.note(f"{first.name} answers the copy: {status}")
            await asyncio.sleep(lab.site["back_s"])
            lab.start(leader)
        await asyncio.sleep(8)
        return lab.judge.broken


main(case)
