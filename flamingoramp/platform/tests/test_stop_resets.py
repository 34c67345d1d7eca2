"""Tests of requests at random moments of the stops of an entry process: none is reset or cut."""

from __future__ import annotations

import collections
import contextlib
import itertools
import random
import signal
import socket
import subprocess
import sys
import threading
import time

import fire

from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import test_programs

STOP_COUNT = 2
CALLER_COUNT = 16
# Requests begin before SIGTERM and go on until the entry refuses connections.
SECONDS_BEFORE_STOP = 0.2
# Kept connections that are idle from before SIGTERM until about the end of the accept period, each
# with one request at a random moment around it.
IDLE_COUNT = 250
IDLE_SENDER_COUNT = 5
SECONDS_BEFORE_END = 0.05
SECONDS_AFTER_END = 0.2
READ_TIMEOUT_SECONDS = 20.0


def read_answer(sock: socket.socket) -> tuple[str, bool]:
    """Read the answer to a request.

    Returns
    -------
    outcome : str
        ``"status N"`` of a complete answer; ``"reset"``; ``"cut"`` for an answer that began and did
        not end; ``"closed"`` for an end before any byte of an answer; ``"no end in time"``.
    keeps_open : bool
        Whether the connection may carry another request.
    """
    data = b""
    try:
        while not _is_complete(data):
            part = sock.recv(65536)
            if not part:
                return ("cut" if data else "closed"), False
            data += part
    except ConnectionError:
        return "reset", False
    except TimeoutError:
        return "no end in time", False
    head = data.partition(b"\r\n\r\n")[0].lower()
    return f"status {int(head.split()[1])}", b"connection: close" not in head


def _is_complete(data: bytes) -> bool:
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    head = head.lower()
    if b"transfer-encoding: chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    length = head.partition(b"content-length:")[2].split(b"\r\n")[0]
    return len(body) >= int(length or 0)


class Callers:
    """Callers of one entry, on kept and new connections, until it refuses connections."""

    def __init__(self, address: str, seed: int):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._seed = seed
        self._numbers = itertools.count()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._call, args=(random.Random(f"{seed}-{number}"),))
            for number in range(CALLER_COUNT)
        ]
        self._idle = [self._connect() for _ in range(IDLE_COUNT)]

    def start(self) -> None:
        """Use each idle connection once, and begin to send requests."""
        rng = random.Random(f"{self._seed}")
        for sock in self._idle:
            self._send_and_read(sock, rng, route="read")
        for thread in self._threads:
            thread.start()

    def send_on_idle(self, accept_end: float) -> None:
        """Send requests on the idle connections around a time of the monotonic clock."""
        for number in range(IDLE_SENDER_COUNT):
            rng = random.Random(f"{self._seed}-idle-{number}")
            socks = self._idle[number::IDLE_SENDER_COUNT]
            thread = threading.Thread(target=self._send_around, args=(rng, socks, accept_end))
            self._threads.append(thread)
            thread.start()

    def join(self) -> None:
        """Wait until all callers have ended."""
        for thread in self._threads:
            thread.join(2 * READ_TIMEOUT_SECONDS)
            if thread.is_alive():
                self._count("stuck caller")

    def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.settimeout(READ_TIMEOUT_SECONDS)
        try:
            sock.connect(self._address)
        except ConnectionError:
            sock.close()
            raise
        return sock

    def _call(self, rng: random.Random) -> None:
        kept: list[socket.socket] = []
        while True:
            if not kept or rng.random() < 0.3:
                try:
                    sock = self._connect()
                except ConnectionRefusedError:
                    break
                except ConnectionError:
                    self._count("reset")
                    continue
            else:
                sock = kept.pop(rng.randrange(len(kept)))
            if self._send_and_read(sock, rng) and len(kept) < 8:
                kept.append(sock)
            else:
                sock.close()
            time.sleep(rng.choice((0.0, 0.001, 0.005, 0.02)))
        for sock in kept:
            self._send_and_read(sock, rng)
            sock.close()

    def _send_around(
        self, rng: random.Random, socks: list[socket.socket], accept_end: float
    ) -> None:
        """Send one request on each connection, and then read the answers."""
        offsets = sorted(rng.uniform(-SECONDS_BEFORE_END, SECONDS_AFTER_END) for _ in socks)
        waiting: list[socket.socket] = []
        for sock, offset in zip(socks, offsets, strict=True):
            time.sleep(max(0.0, accept_end + offset - time.monotonic()))
            if self._send(sock, rng, looks=rng.random() < 0.5):
                waiting.append(sock)
        for sock in waiting:
            self._count(read_answer(sock)[0])
        for sock in socks:
            sock.close()

    def _send_and_read(self, sock: socket.socket, rng: random.Random, route: str = "") -> bool:
        """Send a request; return whether the connection may carry another one."""
        if not self._send(sock, rng, looks=True, route=route):
            return False
        outcome, keeps_open = read_answer(sock)
        self._count(outcome)
        return keeps_open

    def _send(
        self, sock: socket.socket, rng: random.Random, *, looks: bool, route: str = ""
    ) -> bool:
        """Send a request, unless the caller looks and finds that the connection has ended."""
        route = route or rng.choice(("read", "read", "hold", "stream"))
        method, body = ("GET", b"") if route == "read" else ("POST", b"body")
        tokens = "x-token-count: 1000,100\r\n" if route == "stream" else ""
        head = (
            f"{method} /{route}/x HTTP/1.1\r\nhost: {fleets.ROUTE_HOST}\r\n"
            f"x-attempt-id: id{self._seed}-{next(self._numbers)}\r\nauthorization: Token k1\r\n"
            f"x-deadline-ms: 8000\r\n{tokens}content-length: {len(body)}\r\n\r\n"
        )
        if looks and _has_ended(sock):
            self._count("ended before")
            return False
        try:
            sock.sendall(head.encode() + body)
        except ConnectionError:
            self._count("reset")
            return False
        return True

    def _count(self, outcome: str) -> None:
        with self._lock:
            self.outcomes[outcome] += 1


def _has_ended(sock: socket.socket) -> bool:
    """Return whether a connection that carries no request has input or its end."""
    sock.setblocking(False)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
    finally:
        sock.settimeout(READ_TIMEOUT_SECONDS)
    return True


class StopTrial:
    """An entry process that is stopped again and again under load."""

    def __init__(self):
        self.fleet = fleets.Fleet(controls=1, entries=1)
        self.fleet.declare(1)
        self.fleet.wait_in_force(1)
        self.fleet.entries.pop().stop()

    def add_servers(self) -> None:
        """Start backend servers of both services."""
        for number in range(2):
            self.fleet.add_server(f"desk{number}", "desk")
            self.fleet.add_server(f"engine{number}", "llm")

    def run_stop(self, seed: int) -> collections.Counter[str]:
        """Start an entry, send requests, and stop it meanwhile; return what the callers saw."""
        entry = test_programs.DaemonProcess(self.fleet, 1)
        try:
            entry.wait_for_event("declaration.in_force")
            # All servers have announced themselves.
            entry.wait_for_event("server.changed", len(self.fleet.servers))
            callers = Callers(entry.caller_address, seed)
            callers.start()
            time.sleep(SECONDS_BEFORE_STOP)
            entry.process.send_signal(signal.SIGTERM)
            accept_seconds = entry.settings["bounds"]["accept_seconds"]
            callers.send_on_idle(time.monotonic() + accept_seconds)
            callers.join()
            if entry.process.wait(fleets.TIMEOUT_SECONDS) != 0:
                callers.outcomes["exit status"] += 1
            callers.outcomes["gave up"] += len(entry.logged_events("process.gave_up"))
            return +callers.outcomes
        finally:
            entry.close()


@contextlib.contextmanager
def busy_processes(count: int):
    """Run processes that use a core each."""
    processes = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


# The outcomes that a caller can act on: an answer, or the news that the connection ends.
ALLOWED_OUTCOMES = frozenset({"status 200", "status 408", "status 503", "ended before"})


class TestStopResets(fleets.FleetTestCase):
    """Planned stops of an entry process under requests on kept and new connections."""

    # Guards against requests that are reset or cut when their entry closes its listener and its
    # idle connections.
    def test_no_request_is_reset_or_cut_while_an_entry_process_stops(self):
        trial = StopTrial()
        self.addCleanup(trial.fleet.close)
        trial.add_servers()
        for busy_count in (0, 2):
            with self.subTest(busy_count=busy_count), busy_processes(busy_count):
                for seed in range(STOP_COUNT):
                    outcomes = trial.run_stop(seed)
                    self.assertGreater(outcomes["status 200"], 100)
                    self.assertEqual(set(outcomes) - ALLOWED_OUTCOMES, set(), outcomes)


def main(
    stops: int = 200, first_seed: int = 0, busy: int = 0, seconds: float = float("inf")
) -> None:
    """Run many stops by hand, and print what the callers saw.

    Parameters
    ----------
    stops, first_seed : int
        Number of stops, and the seed of the first one.
    busy : int
        Number of processes beside them that use a core each.
    seconds : float
        Time after which no further stop begins.
    """
    trial = StopTrial()
    total: collections.Counter[str] = collections.Counter()
    began_at = time.monotonic()
    stop_count = 0
    try:
        trial.add_servers()
        with busy_processes(busy):
            for seed in range(first_seed, first_seed + stops):
                if time.monotonic() - began_at > seconds:
                    break
                outcomes = trial.run_stop(seed)
                stop_count += 1
                total += outcomes
                if set(outcomes) - ALLOWED_OUTCOMES:
                    print("seed", seed, dict(outcomes), flush=True)
    finally:
        trial.fleet.close()
    print("stops", stop_count, "requests", sum(total.values()), dict(total), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
