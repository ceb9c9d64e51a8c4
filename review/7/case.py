import os, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standin-2"))
from small import *

CALLERS = 6
ORDERS = 80  # by each of them
SERVERS = 7  # one of them is grey: a share of 0.143
GREY_OF_TEN = 4  # so many of ten of its requests fail: 0.4
GREY_S = 5
WORK_S = 0.03

record = Record(os.path.dirname(os.path.abspath(__file__)))
lock = threading.Lock()
runs = {}  # attempt id -> how often it ran
orders = {}  # order number -> attempts that placed it
grey_until = 0.0


class Server:
    """Places orders. A grey one places the order and then fails: 503 with its seal, and without the header that says "not executed"."""

    def __init__(self, key, grey):
        self.key, self.grey = key, grey
        self.running = self.requests = 0
        self.socket = listener()
        self.address = address(self.socket)
        serve(self.socket, self.handle)

    def handle(self, connection, reader):
        while True:
            line, headers = reader.head()
            order = reader.body(headers).decode()
            if line.split()[1] == "/health":
                connection.sendall(("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %d,0,8\r\nContent-Length: 0\r\n\r\n" % (INSTANCE, self.key, LOAD, self.running)).encode())
                continue
            attempt = headers[ID.lower()]
            if headers.get(EXPECT.lower(), self.key) != self.key:
                connection.sendall(("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n" % (ID, attempt, INSTANCE, self.key)).encode())
                continue
            with lock:
                self.running += 1
                runs[attempt] = runs.get(attempt, 0) + 1
                orders.setdefault(order, []).append(attempt)
                self.requests += 1
                fails = TROUBLE and self.grey and self.requests % 10 < GREY_OF_TEN and time.monotonic() < grey_until
            time.sleep(WORK_S)
            record("run    %s places %s at %s%s" % (attempt, order, self.key, "; then it fails" if fails else ""))
            with lock:
                self.running -= 1
            status, body = (503, b"the confirmation could not be sent") if fails else (200, b"placed")
            connection.sendall(("HTTP/1.1 %d X\r\n%s: %s\r\n%s: seal-of-%s\r\n%s: %d,0,8\r\nContent-Length: %d\r\n\r\n" % (status, ID, attempt, SEAL, attempt, LOAD, self.running, len(body))).encode() + body)


store = Store()
store.put("op", "config", desired(1, {"r-order": route("/order/", "unsafe", "svc", 2000, 500)}, ["svc"]))
entries = Servers(store)
for i in range(SERVERS):
    server = Server("i-%d" % i, grey=i == 0)
    entries.add(server.key, "svc", server.address, slots=8)
gateways = Gateways(record, store, 2)
false_refusals = []
answered = [0]
grey_until = time.monotonic() + GREY_S


def ask(n, attempt, order):
    try:
        with connect(gateways.callers[n % 2], 2) as s:
            s.settimeout(5)
            s.sendall(head("POST", "/order/x", attempt, 4000, len(order)) + order.encode())
            status, headers, body = Reader(s).response()
    except (OSError, EOFError) as error:
        record("answer %s none: %s" % (attempt, error))
        return 0
    record("answer %s %d seal=%s" % (attempt, status, headers.get(SEAL.lower())))
    with lock:
        answered[0] += 1 if status == 200 else 0
        if status in (408, 421, 429, 503) and runs.get(attempt):
            false_refusals.append("%s: %d" % (attempt, status))
    return status


def caller(n):
    for i in range(ORDERS):
        order = "order-%d-%d" % (n, i)
        # As PROTOCOL.md tells it: an unsafe request is sent again only after a promise that it has not run.
        if ask(n, order + "-a", order) in (408, 421, 429, 503):
            ask(n, order + "-b", order)


threads = [threading.Thread(target=caller, args=(n,)) for n in range(CALLERS)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join(60)
doubled = {order: attempts for order, attempts in orders.items() if len(attempts) > 1}
record("%d orders, %d answered 200; %d placed twice: %s" % (CALLERS * ORDERS, answered[0], len(doubled), "; ".join("%s by %s" % (o, " and ".join(a)) for o, a in sorted(doubled.items()))))
if answered[0] < CALLERS * ORDERS // 2:
    gateways.end()
    unable(record, "too few requests were served")
finish(record, gateways, "%d requests were answered as not run and had run (%s); %d orders were placed twice" % (len(false_refusals), false_refusals[0], len(doubled)) if false_refusals else "")
