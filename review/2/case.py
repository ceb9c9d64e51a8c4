"""A requester puts a second request into a header value, as an encoded word (RFC 2047): does a server run it?"""
import asyncio
import base64
import os
import random
import sys
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import *  # noqa: E402,F403

SEED = int(os.environ.get("SEED", "1"))
LENGTH_S = 15


def header_value(hidden_id):
    """One line of printable ASCII characters without a line break."""
    hidden = f"a\r\n\r\nPOST /pay/{hidden_id} HTTP/1.1\r\nHost: {HOST}\r\n{ID}: {hidden_id}\r\nContent-Length: 0"
    return f"=?utf-8?B?{base64.b64encode(hidden.encode()).decode()}?="


async def case(trouble, record, tmp, ip):
    rng = random.Random(SEED)
    store = Store()
    await store.start(ip(1))
    routes = {"browse": {"service": "desk", "route_type": "safe"}, "pay": {"service": "desk"}}
    await store.put("op", "config", configuration(1, routes, ["desk"]))
    servers = [Server(store, record, f"i-{i}", "desk") for i in range(3)]
    for i, server in enumerate(servers):
        await server.start(ip(10 + i))
    gateways = [Gateway(tmp, f"gateway-{i}", ip(100 + i), "zone-a", store, [f"{ip(100)}:8166"]) for i in range(2)]
    for gateway in gateways:
        gateway.start()
    await wait_ready(gateways)

    sent = set()
    statuses = Counter()
    until = now() + LENGTH_S

    async def ordinary(client):
        while now() < until:
            id, status, _, _ = await client.request(*rng.choice([("GET", "/browse/1"), ("POST", "/pay/1")]))
            sent.add(id)
            statuses[status] += 1
            await asyncio.sleep(rng.uniform(0.02, 0.1))

    async def odd(gateway):
        while now() < until:
            id, hidden_id = (f"{rng.getrandbits(64):016x}" for _ in range(2))
            value = header_value(hidden_id) if trouble else "=?utf-8?B?Y2Fmw6k=?="
            sent.add(id)
            record("sent", id=id, header=value, hidden=hidden_id if trouble else "none")
            status, _, _ = await asyncio.wait_for(call(gateway.front, "GET", "/browse/2", [("Host", HOST), (ID, id), (DEADLINE, "1200"), ("X-Title", value)]), 3)
            record("answer", id=id, status=status)
            await asyncio.sleep(1)

    await asyncio.gather(*(ordinary(Client(record, f"client-{i}", gateways[i % 2], rng)) for i in range(6)), *(odd(it) for it in gateways))
    await asyncio.sleep(0.5)
    unasked = [(server.id, at, id) for server in servers for at, id in server.runs if id not in sent]
    for server, at, id in unasked:
        record("UNASKED", server=server, id=id, at=f"{at:.4f}")
    print(f"{len(sent)} requests, statuses of the ordinary ones {dict(statuses)}, {sum(len(it.runs) for it in servers)} runs: {len(unasked)} of ids that no requester sent")
    return not unasked


run_case(os.path.dirname(os.path.abspath(__file__)), case)
