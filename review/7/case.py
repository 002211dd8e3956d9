"""A request that crashes its servers comes again four times at once, 30 s after the third crash."""

import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))
import fleet  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
POISON = "/calendar/crash"
# `retry_abuse`: x (3) more times, at once.
COPIES = 4
BACK_S = 3.0
WATCH_S = 36.0


async def check():
    async with fleet.Deployment(FOLDER, [fleet.safe_route()]) as deployment:
        record, crashes, arrivals = deployment.record, [], []

        def add_poison(server):
            async def run(head):
                if head.first.split(" ")[1] == POISON and IS_TROUBLED:
                    arrivals.append((record.now(), head.headers["request-id"]))
                    crashes.append(record.now())
                    record.write(f"server {server.name} crashes, crash {len(crashes)}")
                    server.crash(BACK_S)
                    await asyncio.sleep(60)
                return await server.run_request(head)

            server.run = run

        zones = list(fleet.ZONES)
        for number in range(16):
            add_poison(await deployment.add_server(f"i-{number:02}", zones[number % 6]))
        await deployment.start_machines()

        async def serve_others():
            number = 0
            while True:
                machine = random.choice(deployment.machines)
                number += 1
                task = deployment.send(machine, f"/calendar/day-{number}")
                asyncio.get_running_loop().create_task(task)
                await asyncio.sleep(0.05)

        others = asyncio.create_task(serve_others())
        # The caller sends its request again each second until three servers have crashed.
        for _ in range(12):
            await deployment.send(random.choice(deployment.machines), POISON, tag="(crashing)")
            if len(crashes) >= 3 or not IS_TROUBLED:
                break
            await asyncio.sleep(1.0)
        third = crashes[2] if len(crashes) >= 3 else record.now()
        in_touch = third + fleet.STABLE_WINDOW_S
        # It goes on at one time a second: the client's attempt, and its repeats at once.
        while record.now() < third + WATCH_S:
            await asyncio.sleep(1.0)
            machines = random.sample(deployment.machines, COPIES)
            copies = [deployment.send(m, POISON, tag="(crashing)") for m in machines]
            await asyncio.gather(*copies)
        others.cancel()
        late = [request for at, request in arrivals if at > in_touch]
        # Each attempt of the client counts once, however many servers it reached.
        retries = len(set(late))
        text = (
            f"{len(arrivals)} arrivals; later than 3 s after the third crash, {retries} requests "
            f"reached servers {len(late)} times; allowed 3 requests"
        )
        record.write(text)
        print(text)
        return retries > 3


fleet.run(check)
