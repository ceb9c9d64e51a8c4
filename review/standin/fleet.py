"""Stand-ins for the platform's store, its servers and its clients, and control of real gateway processes.

Everything runs on loopback addresses. Only the Python standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ID = "X-Cowslipledge-Attempt-Id"
DEADLINE = "X-Cowslipledge-Request-Deadline"
SEAL = "X-Cowslipledge-Response-Seal"
EXPECT = "X-Cowslipledge-Expect-Instance"
LOAD = "X-Cowslipledge-Server-Load"
NOT_RUN = "X-Cowslipledge-Not-Executed"
INSTANCE = "X-Cowslipledge-Instance-Id"
HOST = "shop.example"

STARTED = time.monotonic()


def now():
    """Seconds since the script started."""
    return time.monotonic() - STARTED


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1 << 16)

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():9.4f} {what} {text}\n")

    def close(self):
        self.file.close()


class Broken(Exception):
    """The case could not run."""


# HTTP


async def read_message(reader):
    """Returns (first line, headers by lower-case name, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return lines[0], headers, body


def response_bytes(status, headers, body=b""):
    reasons = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# The platform's store


class Store:
    """Rows, their feed and conditional transactions, as PROTOCOL.md tells them."""

    def __init__(self):
        self.ver = 0
        self.rows = {}  # (table, part, key) -> (value or None if it is deleted, ver)
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def put(self, table, key, value, part=""):
        self.ver += 1
        self.rows[(table, part, key)] = (value, self.ver)
        async with self.changed:
            self.changed.notify_all()
        return self.ver

    async def remove(self, table, key, part=""):
        return await self.put(table, key, None, part)

    def row(self, name, value, ver):
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": ver}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def changes(self, table, after):
        found = [(ver, name, value) for name, (value, ver) in self.rows.items() if name[0] == table and ver > after]
        return [self.row(name, value, ver) for ver, name, value in sorted(found)]

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await asyncio.sleep(0.004)
                status, body = await self.answer(message[0].split()[0], message[0].split()[1], message[2])
                body["now_ms"] = int(now() * 1000)
                writer.write(response_bytes(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/rows-get":
            names = sorted((name for name, (value, _) in self.rows.items()
                            if name[0] == query["table"] and name[1] == query.get("part", "") and value is not None
                            and name[2] >= query.get("from", "")), key=lambda name: name[2].encode())
            limit = min(500, int(query.get("limit", 500)))
            return 200, {"rows": [self.row(name, *self.rows[name]) for name in names[:limit]], "has_more": len(names) > limit, "ver": self.ver}
        if url.path == "/-/rows-feed":
            after, until = int(query["after"]), now() + int(query.get("wait_ms", 0)) / 1000
            while not (rows := self.changes(query["table"], after)) and now() < until:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                    except asyncio.TimeoutError:
                        pass
            return 200, {"rows": rows, "ver": self.ver}
        if url.path == "/-/rows-tx":
            call = json.loads(body)
            entries = [((item["table"], item.get("part", ""), item["key"]), item) for item in call.get("expected", [])]

            def version(name):
                value, ver = self.rows.get(name, (None, 0))
                return 0 if value is None else ver
            if any(version(name) != item["ver"] for name, item in entries):
                return 412, {"rows": [self.row(name, *self.rows[name]) for name, _ in entries if version(name)], "ver": self.ver}
            if any(item["table"] in ("op", "servers") for item in call.get("puts", []) + call.get("remove", [])):
                return 403, {}
            self.ver += 1
            for item in call.get("puts", []):
                self.rows[(item["table"], item.get("part", ""), item["key"])] = (base64.b64decode(item["value"]), self.ver)
            for item in call.get("remove", []):
                self.rows[(item["table"], item.get("part", ""), item["key"])] = (None, self.ver)
            async with self.changed:
                self.changed.notify_all()
            return 200, {"ver": self.ver}
        return 404, {}


def configuration(version, routes, services, limits=None):
    """The value of op/config. routes: name -> fields; services: names."""
    full = {}
    for name, fields in routes.items():
        full[name] = {"host": HOST, "prefix": f"/{name}/", "route_type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 400,
                      "priority": 0, "max_attempts": 3, **fields}
    return json.dumps({
        "version": f"{version:08x}",
        "routes": full,
        "services": {name: {"health_path": "/health", "max_connections": 300, "protocol": "http1", "tls": False} for name in services},
        "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 2000, "idle_timeout_ms": 15000},
    }).encode()


# Servers


class Server:
    """A sound server: `slots` requests at once, `queue` more wait, further ones are rejected. Registers itself and renews its row."""

    def __init__(self, store, record, id, service, zone="zone-a", slots=4, queue=4, work_s=lambda: 0.02, reports_load=True):
        self.store, self.record, self.id, self.service, self.zone = store, record, id, service, zone
        self.slots, self.queue, self.work_s, self.reports_load = slots, queue, work_s, reports_load
        self.running = self.waiting = self.sequence = 0
        self.free = asyncio.Condition()
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, id)
        self.arrivals = []  # (time, id)
        self.connections = set()
        self.server = self.beat_task = None
        self.state = "ready"

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"
        await self.beat()
        self.beat_task = asyncio.create_task(self.renew())

    async def beat(self):
        self.sequence += 1
        await self.store.put("servers", self.id, json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "1.0", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}}).encode())

    async def renew(self):
        while True:
            await asyncio.sleep(1.5)
            await self.beat()

    async def deregister(self):
        """Leaves without reporting `draining`: the entry is removed and the server goes on serving."""
        self.beat_task.cancel()
        await self.store.remove("servers", self.id)

    def end(self):
        """The process ends: its port is closed and its connections are cut."""
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def load(self):
        return [(LOAD, f"{self.running},{self.waiting},{self.slots},100")] if self.reports_load else []

    async def take_slot(self):
        """Waits for a slot; returns False if the queue is full."""
        if self.running >= self.slots and self.waiting >= self.queue:
            return False
        async with self.free:
            self.waiting += 1
            try:
                await self.free.wait_for(lambda: self.running < self.slots)
            finally:
                self.waiting -= 1
            self.running += 1
        return True

    async def release_slot(self):
        async with self.free:
            self.running -= 1
            self.free.notify()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        state = {}
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.before_answer(writer, state)
                answer = await self.handle(message, reader)
                if answer is None:
                    break
                if not await self.send(writer, answer, message):
                    break
                self.after_answer(answer, message, state)
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def send(self, writer, answer, message):
        """Returns whether the connection is kept."""
        writer.write(answer)
        await writer.drain()
        return True

    async def before_answer(self, writer, state):
        pass

    def after_answer(self, answer, message, state):
        pass

    async def handle(self, message, reader):
        line, headers, body = message
        method, target, _ = line.split(" ", 2)
        if target == "/health":
            if not await self.take_slot():
                return response_bytes(503, [(INSTANCE, self.id), (NOT_RUN, "1")] + self.load())
            await asyncio.sleep(0.006)
            await self.release_slot()
            return response_bytes(200, [(INSTANCE, self.id)] + self.load())
        id = headers.get(ID.lower(), "")
        if headers.get(EXPECT.lower(), self.id) != self.id:
            return response_bytes(421, [(ID, id), (INSTANCE, self.id), (NOT_RUN, "1")])
        self.arrivals.append((now(), id))
        if not await self.take_slot():
            self.record("rejected", server=self.id, id=id)
            return response_bytes(503, [(ID, id), (NOT_RUN, "1")] + self.load())
        try:
            if reader.at_eof():
                return None
            self.runs.append((now(), id))
            self.record("run", server=self.id, id=id, method=method, target=target)
            await asyncio.sleep(self.work_s())
        finally:
            await self.release_slot()
        return response_bytes(200, [(ID, id), (SEAL, f"{self.id}.{id}")] + self.load(), f"{self.id} {id}".encode())


# Gateways


def render(template, fields):
    """Fills in the part of the platform's template language that deploy/settings.toml.template uses."""

    def lookup(path, entry):
        if path == ".":
            return entry
        value = fields
        for step in path.split("."):
            value = value.get(step) if isinstance(value, dict) else (value[int(step)] if isinstance(value, list) and int(step) < len(value) else None)
            if value is None:
                return None
        return value

    def plain(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text, entry):
        def section(match):
            value = lookup(match.group(1), entry)
            entries = value if isinstance(value, list) else [value] if value is not None and value is not False else []
            return "".join(fill(match.group(2), it) for it in entries)
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(lookup(m.group(1), entry)), text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: plain(lookup(m.group(1), entry)), text)
    return fill(template, fields)


class Gateway:
    """A gateway process, started as deploy/system.toml says, with settings made from its template."""

    def __init__(self, folder, name, ip, zone, store, seeds, bounds=None):
        self.name, self.ip, self.folder = name, ip, folder
        self.front, self.ready, self.control, self.directory = (f"{ip}:{port}" for port in (8161, 8167, 8166, 8164))
        self.fields = {
            "node_name": name, "role": "gateway", "machine_class": "front", "ip": ip, "zone": zone, "region": "region",
            "internal_port_range": [7720, 7735], "seed_nodes": seeds, "heartbeat_ms": 1500,
            "listen": {"front": self.front, "ready": self.ready, "control": self.control, "directory": self.directory},
            "limits": {"cpu_share": 0.17, "memory_mb": 217},
            "platform": {"address": store.address},
            "bounds": {"drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                       "budget_slack": 75, "probes_per_s": 60, **(bounds or {})},
        }
        self.process = None
        self.starts = 0

    def start(self):
        self.fields["bootstrap"] = self.starts == 0  # true only when the whole system starts for the first time
        self.starts += 1
        system = open(os.path.join(ROOT, "deploy/system.toml")).read()
        command = re.search(r'^run = "(.*)"', system, re.M).group(1).split()
        template = open(os.path.join(ROOT, re.search(r'^template = "(.*)"', system, re.M).group(1))).read()
        settings = os.path.join(self.folder, f"{self.name}.toml")
        with open(settings, "w") as file:
            file.write(render(template, self.fields))
        program = os.path.join(ROOT, command[0])
        if not os.access(program, os.X_OK):
            raise Broken(f"{command[0]} is not built")
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen([program, *command[1:]], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"], "HOME": self.folder, "COWSLIPLEDGE_NODE_FILE": settings})

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ready, "GET", "/-/ready", []), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False

    async def metrics(self):
        _, _, body = await asyncio.wait_for(call(f"{self.ip}:9464", "GET", "/metrics", []), 2)
        return body.decode()


async def call(address, method, target, headers, body=b""):
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("no answer")
        return int(message[0].split()[1]), message[1], message[2]
    finally:
        writer.close()


async def wait_ready(gateways, limit_s=15):
    until = now() + limit_s
    while not all([await gateway.is_ready() for gateway in gateways]):
        if now() > until:
            raise Broken("the gateways did not become ready")
        await asyncio.sleep(0.1)


# Clients


class Client:
    """Sends requests one after the other over a kept connection, as a requester does."""

    def __init__(self, record, name, gateway, rng):
        self.record, self.name, self.gateway, self.rng = record, name, gateway, rng
        self.reader = self.writer = None

    async def request(self, method, target, budget_ms=1500, body=b"x"):
        """Returns (id, status or None if the connection ended, headers, body)."""
        id = f"{self.rng.getrandbits(64):016x}"
        sent = now()
        try:
            if self.writer is None:
                ip, port = self.gateway.front.split(":")
                self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{ID}: {id}\r\n{DEADLINE}: {budget_ms}\r\n"
            if method != "GET":
                head += f"Content-Length: {len(body)}\r\n"
            self.writer.write(head.encode() + b"\r\n" + (body if method != "GET" else b""))
            message = await asyncio.wait_for(read_message(self.reader), budget_ms / 1000 + 1)
        except (OSError, ConnectionError, asyncio.TimeoutError):
            message = None
        if message is None:
            self.close()
            self.record("answer", client=self.name, gateway=self.gateway.name, id=id, status="none", sent=f"{sent:.4f}")
            return id, None, {}, b""
        status = int(message[0].split()[1])
        self.record("answer", client=self.name, gateway=self.gateway.name, id=id, status=status, sent=f"{sent:.4f}")
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return id, status, message[1], message[2]

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# The frame of a case


def run_case(folder, case, limit_s=115):
    """Runs `case(trouble, record, tmp, ip)`, a coroutine function that returns whether the rule held, and exits with the code that run.sh promises.

    `ip(n)` names loopback addresses of this run.
    """
    record = Record(os.path.join(folder, "record.txt"))
    tmp = tempfile.mkdtemp(prefix="review-")
    base = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
    processes = []
    original = Gateway.start

    def start(self):
        original(self)
        processes.append(self.process)
    Gateway.start = start
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that nothing is left running
    code = 2
    try:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        held = loop.run_until_complete(asyncio.wait_for(case(trouble, record, tmp, lambda n: f"{base}.{n}"), limit_s))
        code = 0 if held else 1
    except Broken as error:
        print(f"could not run: {error}")
    except asyncio.TimeoutError:
        print("could not run: the time is over")
    finally:
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(tmp, keep, dirs_exist_ok=True)
        shutil.rmtree(tmp, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)  # without closing the loop: connections of the stand-ins may still be open
