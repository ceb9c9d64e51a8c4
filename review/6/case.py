import os, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standin-2"))
from small import *

UPLOADS = 6
SILENT = 1  # of their connections to servers: a share of 0.17
BODY = 8 * 1024 * 1024  # max_body_bytes is 64 MB
DEADLINE_MS = 6000
PAUSE_S = 0.3  # between the two halves of an answer
FIRST, SECOND = b"stored under number 4711; the first half of the answer, ", b"and its second half"

record = Record(os.path.dirname(os.path.abspath(__file__)))
lock = threading.Lock()
silenced = []


class Server:
    """Answers an upload before it has read all of it, reads on, and ends the answer, which has no length, with the connection."""

    def __init__(self, key):
        self.key = key
        self.socket = listener()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 128 * 1024)
        self.address = address(self.socket)
        serve(self.socket, self.handle)

    def handle(self, connection, reader):
        while True:
            line, headers = reader.head()
            if line.split()[1] == "/health":
                connection.sendall(("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,4\r\nContent-Length: 0\r\n\r\n" % (INSTANCE, self.key, LOAD)).encode())
                continue
            request = headers[ID.lower()]
            length = int(headers["content-length"])
            record("run    %s begins at %s" % (request, self.key))
            connection.sendall(("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s\r\nConnection: close\r\n\r\n" % (ID, request, SEAL, request)).encode() + FIRST)
            record("server %s has sent the head and the first half of its answer to %s" % (self.key, request))
            time.sleep(PAUSE_S)
            reader.exactly(length)
            connection.sendall(SECOND)
            connection.shutdown(socket.SHUT_WR)
            record("server %s has read all of %s and sent the second half of its answer" % (self.key, request))
            try:
                while connection.recv(65536):
                    pass
            except OSError:
                pass
            return


class Link:
    """The way to a server. A connection may go silent for good: nothing passes on it any more, and it is not reset. New ones work."""

    def __init__(self, to):
        self.to = to
        self.socket = listener()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 128 * 1024)
        self.address = address(self.socket)
        serve(self.socket, self.handle)

    def handle(self, near, _):
        far = connect(self.to, 2)
        state = {"silent": False}

        def copy(source, target, watches):
            try:
                while not state["silent"]:
                    data = source.recv(65536)
                    if state["silent"]:
                        break
                    if not data:
                        target.shutdown(socket.SHUT_WR)
                        return
                    target.sendall(data)
                    if watches and FIRST in data and TROUBLE:
                        with lock:
                            goes = len(silenced) < SILENT
                            if goes:
                                silenced.append(self.to)
                                state["silent"] = True
                        if goes:
                            record("link   a connection to the server at %s goes silent" % self.to)
            except OSError:
                pass
            if state["silent"]:
                time.sleep(30)

        back = threading.Thread(target=copy, args=(far, near, True), daemon=True)
        back.start()
        copy(near, far, False)
        back.join()
        far.close()


store = Store()
store.put("op", "config", desired(1, {"r-upload": route("/upload/", "upload", "intake", DEADLINE_MS, 1500)}, ["intake"]))
entries = Servers(store)
for i in range(4):
    link = Link(Server("i-%d" % i).address)
    entries.add("i-%d" % i, "intake", link.address)
gateways = Gateways(record, store, 2)
wrong = []
whole = [0]


def upload(n):
    request = "upload-%d" % n
    try:
        with connect(gateways.callers[n % 2], 2) as s:
            s.settimeout(DEADLINE_MS / 1000 + 2)
            record("sent   %s: head and a body of %d bytes, as fast as it is taken" % (request, BODY))

            def send():
                try:
                    s.sendall(head("POST", "/upload/x", request, DEADLINE_MS, BODY) + b"x" * BODY)
                except OSError:
                    pass

            threading.Thread(target=send, daemon=True).start()
            status, headers, body = Reader(s).response()
    except (OSError, EOFError) as error:
        record("answer %s none: %s" % (request, type(error).__name__))
        return
    record("answer %s %d seal=%s content-length=%s body='%s'" % (request, status, headers.get(SEAL.lower()), headers.get("content-length"), body.decode(errors="replace")))
    with lock:
        if 200 <= status < 300 and body != FIRST + SECOND:
            wrong.append("%s got %d of %d bytes as a complete 200" % (request, len(body), len(FIRST + SECOND)))
        elif status == 200:
            whole[0] += 1


threads = [threading.Thread(target=upload, args=(n,)) for n in range(UPLOADS)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join(20)
record("%d uploads, %d answered whole, %d connections went silent, %d answers cut and taken for whole" % (UPLOADS, whole[0], len(silenced), len(wrong)))
if whole[0] < UPLOADS - SILENT or (TROUBLE and not silenced):
    gateways.end()
    unable(record, "only %d uploads were answered whole, %d connections went silent" % (whole[0], len(silenced)))
finish(record, gateways, "%d answers that were cut off look complete: %s" % (len(wrong), wrong[0]) if wrong else "")
