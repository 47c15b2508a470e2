"""A machine with an agent and its worker was suspended. From then on the agent asks for leases by a
clock that runs ahead of the worker's, and takes them for over while they last."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import BOUNDS, Job, Lab, main  # noqa: E402

SUSPEND_S = 3.0
MUTE_S = 1.2
WORK_MS = 4000
# For a look at each disruption alone.
ONLY = os.environ.get("ONLY", "")


def make(path):
    workers = [dict(name=f"w{n}", labels=["a", f"r1-{n}"], cpu=12000) for n in range(1, 11)]
    return Lab(path, entries=2, workers=workers)


async def mute(path, call):
    return "mute"


async def case(lab):
    agent, worker = lab.agents[0], lab.workers[0]
    if lab.trouble and ONLY != "mute":
        agent.send(signal.SIGSTOP)
        worker.suspend()
        await asyncio.sleep(SUSPEND_S)
        worker.resume()
        agent.send(signal.SIGCONT)
    else:
        await asyncio.sleep(SUSPEND_S)
    # The machine is in touch again.
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 0.5)
    jobs = [Job(lab, WORK_MS, count=20, resend=False)]
    clients = [asyncio.create_task(job.run([lab.entries[0]], attempts=1)) for job in jobs]
    await asyncio.sleep(1.0)
    if not worker.runs:
        raise RuntimeError("no task runs on the worker")
    if lab.trouble and ONLY != "suspend":
        lab.record(f"worker {worker.name} leaves its calls without an answer")
        worker.hook = mute
    await asyncio.sleep(MUTE_S)
    worker.hook = None
    lab.record(f"worker {worker.name} answers")
    await asyncio.gather(*clients)
    for job in jobs:
        lab.record.say(f"job {job.id}: {job.answers}")
    return lab.report_twice()


main(case, make)
