"""Faulty servers break off some answers of 60 KB, while requesters send further safe requests on the same connection: are those answered?"""
import asyncio
import os
import random
import sys
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import *  # noqa: E402,F403

SEED = int(os.environ.get("SEED", "1"))
LENGTH_S = 80
SERVERS = 6
FAULTY = 2  # servers: a share of 0.33
BROKEN_SHARE = 0.02  # of their answers
BODY_BYTES = 60_000
DEPTH = 4  # requests sent without waiting


class BreakingServer(Server):
    """Breaks off some answers in the middle of the body."""

    rng = None
    is_faulty = False
    broken = None  # ids of the requests whose answers were broken off

    async def handle(self, message, reader):
        answer = await super().handle(message, reader)
        if answer is None or message[0].split(" ")[1] == "/health" or not answer.startswith(b"HTTP/1.1 200"):
            return answer
        head = answer.split(b"\r\n\r\n")[0].decode().split("\r\n")
        headers = [tuple(line.split(": ", 1)) for line in head[1:] if not line.startswith("Content-Length")]
        return response_bytes(200, headers, b"x" * BODY_BYTES)

    async def send(self, writer, answer, message):
        if self.is_faulty and len(answer) > BODY_BYTES and self.rng.random() < BROKEN_SHARE:
            id = message[1].get(ID.lower(), "")
            self.broken.add(id)
            self.record("broken-off", server=self.id, id=id)
            writer.write(answer[:50_000])
            await writer.drain()
            return False
        return await super().send(writer, answer, message)


async def case(trouble, record, tmp, ip):
    rng = random.Random(SEED)
    store = Store()
    await store.start(ip(1))
    await store.put("op", "config", configuration(1, {"browse": {"service": "desk", "route_type": "safe"}}, ["desk"]))
    servers = []
    broken = set()
    for i in range(SERVERS):
        server = BreakingServer(store, record, f"i-{i}", "desk", slots=6, queue=6)
        server.rng, server.broken, server.is_faulty = rng, broken, trouble and i < FAULTY
        servers.append(server)
        await server.start(ip(10 + i))
    gateways = [Gateway(tmp, f"gateway-{i}", ip(100 + i), "zone-a", store, [f"{ip(100)}:8166"]) for i in range(2)]
    for gateway in gateways:
        gateway.start()
    await wait_ready(gateways)
    await asyncio.sleep(3.5)  # the gateways are in touch from now on

    statuses = Counter()
    unanswered = {}  # id -> gateway
    until = now() + LENGTH_S

    async def pipeline(gateway, name):
        reader = writer = None
        while now() < until:
            if writer is None:
                host, port = gateway.front.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
            ids = [f"{rng.getrandbits(64):016x}" for _ in range(DEPTH)]
            for id in ids:
                record("sent", client=name, gateway=gateway.name, id=id)
                writer.write(f"GET /browse/{rng.randint(1, 999)} HTTP/1.1\r\nHost: {HOST}\r\n{ID}: {id}\r\n{DEADLINE}: 1500\r\n\r\n".encode())
            for i, id in enumerate(ids):
                message = await asyncio.wait_for(read_message(reader), 3)
                if message is None:
                    for left in ids[i:]:
                        unanswered[left] = gateway.name
                        record("closed-without-answer", client=name, id=left)
                    writer.close()
                    writer = None
                    break
                status = int(message[0].split()[1])
                statuses[status] += 1
                record("answer", client=name, id=id, status=status)
                if message[1].get("connection", "").lower() == "close":
                    raise Broken("a gateway closes connections by itself")
            await asyncio.sleep(rng.uniform(0.05, 0.2))

    await asyncio.gather(*(pipeline(gateways[i % 2], f"client-{i}") for i in range(10)))
    await asyncio.sleep(0.5)
    ran_at = {}
    for server in servers:
        for _, id in server.runs:
            ran_at.setdefault(id, []).append(server)
    # Passed on to sound servers only.
    lost = [id for id in unanswered if id in ran_at and not any(server.is_faulty for server in ran_at[id])]
    for id in lost:
        record("LOST", id=id, gateway=unanswered[id], servers=[server.id for server in ran_at[id]])
    most = max(Counter(unanswered[id] for id in lost).values(), default=0)
    print(f"statuses {dict(statuses)}, {len(broken)} answers broken off by servers, {len(unanswered)} requests without an answer: {len(lost)} of these had been passed on to a sound server, {most} by one gateway")
    return most <= 3


run_case(os.path.dirname(os.path.abspath(__file__)), case)
