"""A stored job that needs a label which one runner has, and that crashes once."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standins'))
import world as w

ROUTE = {'name': 'q', 'host': 'a.example', 'prefix': '/p/', 'service': 'work', 'priority': 0,
         'attempts': 3, 'timeoutMs': 3000, 'stretch': 1.6, 'targetLatencyMs': 60}
JOB = '00000000000000c1'
LATER = '00000000000000c2'  # shows that the runner takes work again
WORK_S = 4.0
DOWN_S = 1.0
CALM_S = 7.0     # after the runner is up again, until a wait counts
NOTHING_S = 3.0  # for which a job may have nothing running
FINISH_S = 14.0  # after the end of the traffic
STEPS = [{'count': 1, 'cpu': 1600, 'memMb': 64, 'estimateMs': 4000, 'requires': 'b'}]


async def case(world):
    await world.start_all(2, [['b', 'r1']] + [['a', 'r1']] * 7)
    world.configure([ROUTE])
    await world.wait_ready(2)
    await asyncio.sleep(4)
    status, _ = await world.submit(1, '/p/', JOB, STEPS, WORK_S)
    if status != 200:
        raise w.CannotRun('the job was not accepted')
    await asyncio.sleep(2)
    if world.trouble:
        world.runners['r1'].crash()
        await asyncio.sleep(DOWN_S)
        await world.runners['r1'].start()
    await asyncio.sleep(CALM_S)
    await world.submit(2, '/p/', LATER, STEPS, WORK_S)
    calm = time.monotonic()
    while time.monotonic() < calm + FINISH_S + NOTHING_S + 1:
        await asyncio.sleep(1)
        state = (await world.state(2, '/p/', JOB))[1]
        if state in ('completed', 'failed'):
            break
    began = [r[3] for r in world.runs if r[0].startswith(JOB) and r[3] > calm]
    waited = (began[0] if began else time.monotonic()) - calm
    if state == 'failed':
        return [f'job {JOB} is shown as failed']
    if not began and state != 'completed' and waited > FINISH_S + NOTHING_S:
        return [f'job {JOB} is {state} and has had nothing running for {CALM_S + waited:.1f} s; '
                f'the runner with its label is up and has run another job']
    return []


w.main(case)
