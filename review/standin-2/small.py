"""Stand-ins for the cases 6 to 10: the platform's store, gateways as processes, requesters. Python's standard library only."""
import base64, json, os, signal, socket, subprocess, sys, tempfile, threading, time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ID = "X-Cowslipledge-Attempt-Id"
SEAL = "X-Cowslipledge-Response-Seal"
INSTANCE = "X-Cowslipledge-Instance-Id"
EXPECT = "X-Cowslipledge-Expect-Instance"
NOT_RUN = "X-Cowslipledge-Not-Executed"
LOAD = "X-Cowslipledge-Server-Load"
DEADLINE = "X-Cowslipledge-Request-Deadline"
KEY = "X-Cowslipledge-Key"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self("trouble: %s" % ("yes" if TROUBLE else "no"))

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%8.3f  %s\n" % (self.now(), text))
                self.file.flush()


def listener():
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    s.listen(256)
    return s


def address(s):
    return "%s:%d" % s.getsockname()


def free_addresses(n):
    held = [listener() for _ in range(n)]
    found = [address(s) for s in held]
    for s in held:
        s.close()
    return found


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, s):
        self.s = s
        self.buffer = b""

    def more(self):
        data = self.s.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.more()
        raw, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, n):
        while len(self.buffer) < n:
            self.more()
        data, self.buffer = self.buffer[:n], self.buffer[n:]
        return data

    def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                while b"\r\n" not in self.buffer:
                    self.more()
                line, self.buffer = self.buffer.split(b"\r\n", 1)
                size = int(line.split(b";")[0], 16)
                data += self.exactly(size)
                self.exactly(2)
                if size == 0:
                    return data
        return self.exactly(int(headers.get("content-length", "0")))

    def response(self):
        line, headers = self.head()
        return int(line.split()[1]), headers, self.body(headers)


def serve(s, handle):
    """Accepts connections; handle(socket, reader) runs in a thread for each."""

    def run(connection):
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(connection, Reader(connection))
        except (EOFError, OSError, ValueError):
            pass
        finally:
            connection.close()

    def accept():
        while True:
            try:
                connection, _ = s.accept()
            except OSError:
                return
            threading.Thread(target=run, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


class Store:
    """The platform's store: rows-get, rows-feed and rows-tx as PROTOCOL.md tells them."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}  # (table, key) -> (value or None, ver)
        self.ver = 0
        self.socket = listener()
        self.address = address(self.socket)
        serve(self.socket, self.handle)

    def put(self, table, key, value):
        with self.changed:
            self.ver += 1
            self.rows[(table, key)] = (value, self.ver)
            self.changed.notify_all()
            return self.ver

    def listed(self, table, after=-1, deleted=False):
        found = []
        for (t, key), (value, ver) in sorted(self.rows.items()):
            if t != table or ver <= after or (value is None and not deleted):
                continue
            row = {"table": t, "part": "", "key": key, "ver": ver}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value.encode()).decode()
            found.append(row)
        return found

    def answer(self, rows, more=False):
        return {"rows": rows, "has_more": more, "ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    def handle(self, connection, reader):
        while True:
            line, headers = reader.head()
            body = reader.body(headers)
            method, target, _ = line.split()
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            status, found = 200, {}
            with self.changed:
                if parts.path == "/-/rows-get":
                    rows = [r for r in self.listed(query["table"]) if r["key"] >= query.get("from", "")]
                    limit = min(int(query.get("limit", "500")), 500)
                    found = self.answer(rows[:limit], len(rows) > limit)
                elif parts.path == "/-/rows-feed":
                    after, table = int(query["after"]), query["table"]
                    until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
                    while not self.listed(table, after, True) and time.monotonic() < until:
                        self.changed.wait(until - time.monotonic())
                    found = self.answer(sorted(self.listed(table, after, True), key=lambda r: r["ver"]))
                elif parts.path == "/-/rows-tx":
                    call = json.loads(body)
                    known = lambda r: self.rows.get((r["table"], r["key"]), (None, 0))
                    holds = all((known(r)[1] if known(r)[0] is not None else 0) == r["ver"] for r in call.get("expected", []))
                    if holds:
                        self.ver += 1
                        for r in call.get("puts", []):
                            self.rows[(r["table"], r["key"])] = (base64.b64decode(r["value"]).decode(), self.ver)
                        for r in call.get("remove", []):
                            self.rows[(r["table"], r["key"])] = (None, self.ver)
                        self.changed.notify_all()
                        found = {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
                    else:
                        status = 412
                        expected = {(r["table"], r["key"]) for r in call["expected"]}
                        found = self.answer([r for t in {k[0] for k in expected} for r in self.listed(t) if (r["table"], r["key"]) in expected])
                else:
                    status = 404
            text = json.dumps(found).encode()
            connection.sendall(("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text))).encode() + text)


class Servers:
    """Entries of servers in the store, with a heartbeat."""

    def __init__(self, store, beat_s=1.5):
        self.store = store
        self.known = {}
        self.lock = threading.Lock()

        def beat():
            while True:
                time.sleep(beat_s)
                with self.lock:
                    for key, entry in self.known.items():
                        entry["status"]["sequence"] += 1
                        self.store.put("servers", key, json.dumps(entry))

        threading.Thread(target=beat, daemon=True).start()

    def add(self, key, service, where, slots=4, zone="a"):
        entry = {"address": where, "info": {"service": service, "version": "v1", "zone": zone, "slots": slots},
                 "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0}, "born": int(time.time() * 1000)}
        with self.lock:
            self.known[key] = entry
            self.store.put("servers", key, json.dumps(entry))


def route(prefix, kind, service, timeout_ms, goal_ms, attempts=2):
    return {"host": "host.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": goal_ms,
            "priority": 1, "service": service, "max_attempts": attempts, "public": False}


def desired(version, routes, services, tenants=None):
    """A desired state; limits as `fleetbench wire` prints them."""
    state = {"version": "%08x" % version, "routes": routes,
             "services": {name: {"health_path": "/health", "max_connections": 960, "protocol": "h1", "tls": False} for name in services},
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants is not None:
        state["tenants"] = tenants
    return json.dumps(state)


started = []  # Gateways, to be ended whatever happens


def give_up(record, why):
    for gateways in started:
        gateways.end()
    unable(record, why)


class Gateways:
    """Gateways as the deploy file starts them, with settings as its template gives them for loopback addresses."""

    def __init__(self, record, store, n, extra_bounds=""):
        self.record = record
        started.append(self)
        sys.excepthook = lambda kind, error, _: give_up(record, "%s: %s" % (kind.__name__, error))
        signal.signal(signal.SIGTERM, lambda number, frame: give_up(record, "it took too long"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.callers = []
        self.ready = []
        program = os.path.join(ROOT, "target/bin/cowslipledge")
        if not os.access(program, os.X_OK):
            unable(record, "target/bin/cowslipledge is missing: run the build of the deploy file")
        names = [free_addresses(6) for _ in range(n)]
        seeds = json.dumps([a[3] for a in names[:3]])
        for i, (callers, ready, directory, control, forwarding, metrics) in enumerate(names):
            path = os.path.join(self.folder, "settings-%d.toml" % i)
            with open(path, "w") as f:
                f.write("[gateway]\nnode = \"front-%d\"\nfailure_domain = \"a\"\ncallers = \"%s\"\nready = \"%s\"\ndirectory = \"%s\"\ncontrol = \"%s\"\n"
                        "forwarding = \"%s\"\nmetrics = \"%s\"\nseeds = %s\ncapacity = 0.5\nmemory_mb = 512\nbootstrap = true\ngrace_s = 6\napply_ms = 2500\n"
                        "drain_ms = 2500\n[store]\naddress = \"%s\"\nserver_heartbeat_ms = 1500\n[bounds]\nretry_ratio = 0.2\nretry_slack = 180\n"
                        "retry_window_s = 10\nprobes_per_server = 42\n%s" % (i, callers, ready, directory, control, forwarding, metrics, seeds, store.address, extra_bounds))
            log = open(os.path.join(self.folder, "log-%d" % i), "wb")
            environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
            environment["COWSLIPLEDGE_NODE_FILE"] = path
            self.processes.append(subprocess.Popen([program, "gateway"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log))
            self.callers.append(callers)
            self.ready.append(ready)
        until = time.monotonic() + 20
        for where in self.ready:
            while not self.is_ready(where):
                if time.monotonic() > until:
                    give_up(record, "a gateway is not ready after 20 s")
                time.sleep(0.1)
        record("%d gateways are ready" % n)
        time.sleep(1)

    @staticmethod
    def is_ready(where):
        try:
            with connect(where, 1) as s:
                s.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return Reader(s).response()[0] == 200
        except (OSError, EOFError):
            return False

    def logs(self, i):
        with open(os.path.join(self.folder, "log-%d" % i), errors="replace") as f:
            return f.read()

    def signal(self, i, number):
        self.processes[i].send_signal(number)

    def end(self):
        for process in self.processes:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    process.send_signal(number)
                except OSError:
                    pass
        for process in self.processes:
            process.wait()
        if os.path.isdir(self.folder):
            for name in os.listdir(self.folder):
                os.unlink(os.path.join(self.folder, name))
            os.rmdir(self.folder)


def connect(where, timeout):
    host, port = where.rsplit(":", 1)
    s = socket.create_connection((host, int(port)), timeout)
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return s


def head(method, path, key, deadline_ms, length=0, extra=""):
    text = "%s %s HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: %d\r\n%s" % (method, path, ID, key, DEADLINE, deadline_ms, extra)
    if length or method == "POST":
        text += "Content-Length: %d\r\n" % length
    return (text + "\r\n").encode()


def unable(record, why):
    record("could not run: " + why)
    print("could not run: " + why)
    os._exit(2)


def finish(record, gateways, broken):
    """Exit status as the issue asks: 1 if the rule was broken, 0 if it held."""
    gateways.end()
    started.clear()
    record("rule %s" % ("BROKEN: " + broken if broken else "held"))
    print("broken: " + broken if broken else "held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
