"""An entry freezes with requests in its sockets. When it wakes it starts them, although their clients
have left and have submitted the jobs again elsewhere."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import Job, Lab, main  # noqa: E402

# Whether orders reach an agent depends on where it is with its attempts to link again.
FREEZES_S = [3.5, 3.35, 3.2]
PAUSE_S = 4.0
JOBS = 20
GAP_S = 0.02
WORK_MS = 1200
DEADLINE_MS = 1500


def make(path):
    workers = [dict(name=f"w{n}", labels=["a", f"r1-{n}"], cpu=32000) for n in range(1, 8)]
    return Lab(path, entries=3, workers=workers)


async def freeze_once(lab, freeze_s):
    first, second = lab.entries[0], lab.entries[1]
    if lab.trouble:
        first.send(signal.SIGSTOP)
    jobs, clients = [], []
    for _ in range(JOBS):
        job = Job(lab, WORK_MS, wait_ms=DEADLINE_MS)
        jobs.append(job)
        clients.append(asyncio.create_task(job.run([first, second], attempts=2)))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(freeze_s - JOBS * GAP_S)
    if lab.trouble:
        first.send(signal.SIGCONT)
    await asyncio.gather(*clients)
    for job in jobs:
        lab.record(f"job {job.id}: {job.answers}")
    served = sum(job.answers[-1][1] == 200 for job in jobs)
    lab.record.say(f"{served} of {JOBS} jobs are completed")


async def case(lab):
    for freeze_s in FREEZES_S:
        await freeze_once(lab, freeze_s)
        await asyncio.sleep(PAUSE_S)
    return lab.report_twice()


main(case, make)
