import os, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standin-2"))
from small import *

GATEWAYS = 3
REVOKE_MS = 5000
MARGIN_S = 1.5  # beyond revoke_ms, before the requests that must not run

record = Record(os.path.dirname(os.path.abspath(__file__)))
lock = threading.Lock()
runs = {}  # id -> tenant that the server was told


class Server:
    def __init__(self, key):
        self.key = key
        self.socket = listener()
        self.address = address(self.socket)
        serve(self.socket, self.handle)

    def handle(self, connection, reader):
        while True:
            line, headers = reader.head()
            reader.body(headers)
            if line.split()[1] == "/health":
                connection.sendall(("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,6\r\nContent-Length: 0\r\n\r\n" % (INSTANCE, self.key, LOAD)).encode())
                continue
            request = headers[ID.lower()]
            tenant = headers.get("x-cowslipledge-tenant")
            with lock:
                runs[request] = tenant
            record("run    %s for tenant %s at %s" % (request, tenant, self.key))
            connection.sendall(("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s\r\nContent-Length: 2\r\n\r\nok" % (ID, request, SEAL, request)).encode())


def state(version, acme_keys, blue):
    tenants = {"acme": {"api_keys": acme_keys, "priority": 1, "rate_per_s": 250, "burst": 250},
               "blue": dict({"api_keys": ["key-blue-1"], "priority": 1}, **blue)}
    return desired(version, {"r-pay": route("/pay/", "unsafe", "svc", 2000, 800)}, ["svc"], tenants)


store = Store()
store.put("op", "config", state(1, ["key-acme-1", "key-acme-2"], {"rate_per_s": 250, "burst": 250}))
entries = Servers(store)
for i in range(3):
    server = Server("i-%d" % i)
    entries.add(server.key, "svc", server.address, slots=6)
gateways = Gateways(record, store, GATEWAYS, "allowance_window_s = 5\nallowance_overage = 0.1\nallowance_slack = 20\nrevoke_ms = %d\n" % REVOKE_MS)
kept = [connect(where, 2) for where in gateways.callers]  # of connected requesters
readers = [Reader(s) for s in kept]


def ask(n, request, key):
    s = kept[n]
    s.settimeout(4)
    sent = record.now()
    try:
        s.sendall(head("POST", "/pay/x", request, 2500, 3, "%s: %s\r\n" % (KEY, key)) + b"pay")
        status = readers[n].response()[0]
    except (OSError, EOFError) as error:
        status = 0
        record("answer %s none: %s" % (request, error))
        kept[n] = connect(gateways.callers[n], 2)
        readers[n] = Reader(kept[n])
    record("answer %s at front-%d, key %s, sent at %.3f: %d" % (request, n, key, sent, status))
    return status


before = [ask(n, "before-%d" % n, "key-acme-1") for n in range(GATEWAYS)]
if before != [200] * GATEWAYS:
    gateways.end()
    unable(record, "not all gateways serve the key before the change: %s" % before)

# Version 2 takes a key of acme away, adds another one, and changes the limit of blue: to a higher one, or to none by a rate of 0.
store.put("op", "config", state(2, ["key-acme-2", "key-acme-3"], {"rate_per_s": 0 if TROUBLE else 500, "burst": 250}))
record("store  version 2 is confirmed: key-acme-1 is taken away, key-acme-3 added; blue has %s" % ("rate_per_s 0 (no limit)" if TROUBLE else "rate_per_s 500"))
time.sleep(REVOKE_MS / 1000 + MARGIN_S)
for i in range(6):
    for n in range(GATEWAYS):
        ask(n, "revoked-%d-%d" % (i, n), "key-acme-1")
        ask(n, "new-%d-%d" % (i, n), "key-acme-3")
    time.sleep(0.5)
for s in kept:
    s.close()
late = sorted(r for r in runs if r.startswith("revoked-"))
for i in range(GATEWAYS):
    for line in gateways.logs(i).splitlines():
        if "onfiguration" in line and "reject" in line:
            record("log    front-%d: %s" % (i, line))
finish(record, gateways, "%d requests ran with a key that was taken away over %d ms before, the last %.1f s after the change" % (len(late), REVOKE_MS, REVOKE_MS / 1000 + MARGIN_S + 2.5) if late else "")
