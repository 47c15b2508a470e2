"""Connections of one entry are reset; the cancels of the jobs that broke off with them are lost."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import Job, Lab, main, reset  # noqa: E402

WORK_MS = 5000


def make(path):
    workers = [dict(name=f"w{n}", labels=["a", f"r1-{n}"], cpu=8000) for n in range(1, 7)]
    return Lab(path, entries=3, workers=workers, proxied=True)


async def case(lab):
    first, second = lab.entries[0], lab.entries[1]
    jobs = [Job(lab, WORK_MS, cpu=4000) for _ in range(6)]
    clients = [asyncio.create_task(job.run([first, second])) for job in jobs]
    await asyncio.sleep(1.0)
    if lab.trouble:
        # Of the first entry's connections (six links, six clients, two to the store) those of three
        # agents and of the clients whose jobs run there are reset.
        at = {}
        for index, worker in enumerate(lab.workers):
            for task in worker.runs:
                at.setdefault(index, []).append(task.split(".")[0])
        hit = sorted(at)[:3]
        ids = [job for index in hit for job in at[index]][:4]
        total = 6 + len(jobs) + 2
        links = sum(first.proxy.reset(lab.agents[index]) for index in hit)
        lab.record.say(f"reset of {links + len(ids)} of {total} connections of {first.name}")
        for job in jobs:
            if job.id in ids:
                reset(job.writer)
    await asyncio.gather(*clients)
    await asyncio.sleep(0.5)
    for job in jobs:
        lab.record.say(f"job {job.id}: {job.answers}")
    return lab.report_twice()


main(case, make)
