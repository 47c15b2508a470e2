"""A client that has moved to another zone cancels its job there. The other entry doesn't know the job,
says so, and the job runs on."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import BOUNDS, HOST, PREFIX, Job, Lab, http_call, main  # noqa: E402

WORK_MS = 14000


def make(path):
    workers = [dict(name=f"w{n}", labels=["a", f"r1-{n}"], cpu=8000) for n in range(1, 4)]
    return Lab(path, entries=3, workers=workers)


async def case(lab):
    old, new = lab.entries[0], lab.entries[1]
    job = Job(lab, WORK_MS, count=2, wait_ms=20000, resend=False)
    client = asyncio.create_task(job.run([old], attempts=1))
    await asyncio.sleep(1.0)
    lab.record("the client moves to the zone of front-2" if lab.trouble else "the client stays")
    entry = new if lab.trouble else old
    # Long enough that the move is no disruption near the cancelling.
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 0.5)
    lab.record(f"client: DELETE {job.id} at {entry.name}")
    status, _ = await http_call(entry.front, "DELETE", PREFIX + job.id, headers={"host": HOST})
    acknowledged = lab.record.now()
    lab.record.say(f"the DELETE at {entry.name} is answered: {status}")
    await client
    lab.record.say(f"job {job.id}: {job.answers}")
    limit = acknowledged + (BOUNDS["cancel_ms"] + BOUNDS["stopMs"]) / 1000
    late = [run for run in lab.runs if run[1].startswith(job.id) and run[4] > limit]
    for worker, task, number, start, end, how in late:
        lab.record.say(f"UNASKED: {task} ran on {worker} until {end:.3f} s ({how}), "
                       f"{end - acknowledged:.3f} s after the cancelling was acknowledged")
    return status in (200, 410) and late


main(case, make)
