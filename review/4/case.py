"""The leading relay and its standby are killed and start again while a server leaves: do the other gateways still send work to it?"""
import asyncio
import os
import random
import re
import sys
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import *  # noqa: E402,F403

SEED = int(os.environ.get("SEED", "1"))
DRAIN_S = 2.0
IN_TOUCH_S = 3.2  # after the kill: stability_ms and a little more; only later requests are counted
SERVES_ON_S = 9.0  # of a server whose entry was removed: drain_ms and many seconds more
ROUNDS = 4
RESTART_S = 0.25


def relays_of(tmp, gateways):
    """The gateways of the newest relay list, leader first, from the gateways' logs."""
    newest = (0, [])
    for gateway in gateways:
        with open(os.path.join(tmp, f"{gateway.name}.log")) as log:
            for match in re.finditer(r'"relays":"([^"]*)","version":"(\d+)"', log.read()):
                newest = max(newest, (int(match.group(2)), match.group(1).split()))
    return [gateway for control in newest[1] for gateway in gateways if gateway.control == control]


async def case(trouble, record, tmp, ip):
    rng = random.Random(SEED)
    store = Store()
    await store.start(ip(1))
    await store.put("op", "config", configuration(1, {"pay": {"service": "cashier"}}, ["cashier"]))
    servers = {}
    for i in range(4 + ROUNDS):
        server = Server(store, record, f"i-{i}", "cashier", work_s=lambda: 0.05)
        servers[server.id] = server
        await server.start(ip(10 + i))
    gateways = [Gateway(tmp, f"gateway-{i}", ip(100 + i), "zone-a", store, [f"{ip(100 + k)}:8166" for k in range(3)]) for i in range(5)]
    for gateway in gateways:
        gateway.start()
    await wait_ready(gateways)
    is_over = False
    statuses = {}
    taken_by = {}

    async def send(client):
        while not is_over:
            id, status, headers, _ = await client.request("POST", f"/pay/{rng.randint(1, 10**9)}")
            statuses[id] = status
            taken_by[id] = client.gateway.name
            await asyncio.sleep(0.05 if status is None else float(headers.get("retry-after", "0")) or rng.uniform(0.02, 0.06))

    clients = [asyncio.create_task(send(Client(record, f"client-{i}", gateways[i % len(gateways)], rng))) for i in range(15)]
    late = []
    lost = []
    for round_ in range(ROUNDS):
        await asyncio.sleep(5)
        leaving = servers[f"i-{4 + round_}"]
        relays = relays_of(tmp, gateways)
        if len(relays) < 2:
            raise Broken("no relay and standby yet")
        if trouble:
            for gateway in relays[:2]:
                record("kill", gateway=gateway.name)
                gateway.kill()
        gone = now()
        await leaving.deregister()
        record("entry-removed", server=leaving.id)
        if trouble:
            await asyncio.sleep(RESTART_S)
            for gateway in relays[:2]:
                record("start", gateway=gateway.name)
                gateway.start()
        await asyncio.sleep(SERVES_ON_S)
        ended = now()
        leaving.end()
        record("server-ends", server=leaving.id)
        await asyncio.sleep(1.5)
        undisturbed = {gateway.name for gateway in gateways if not (trouble and gateway in relays[:2])}
        late += [(round_, id, at - gone) for at, id in leaving.arrivals if at > gone + max(DRAIN_S, IN_TOUCH_S) and taken_by.get(id) in undisturbed]
        lost += [id for at, id in leaving.runs if at < ended and statuses.get(id, 200) != 200 and at > gone + max(DRAIN_S, IN_TOUCH_S) and taken_by.get(id) in undisturbed]
    is_over = True
    await asyncio.gather(*clients)
    for round_, id, after in late:
        record("DRAIN", round=round_, id=id, gateway=taken_by[id], after_s=f"{after:.2f}")
    for id in lost:
        record("lost", id=id, status=statuses[id])
    print(f"{len(statuses)} requests, statuses {dict(Counter(statuses.values()))}: {len(late)} reached a server later than {max(DRAIN_S, IN_TOUCH_S)} s after its entry was removed, from gateways that were not disturbed; {len(lost)} of these were lost when it ended; rounds {sorted({it[0] for it in late})}")
    return not late


run_case(os.path.dirname(os.path.abspath(__file__)), case)
