"""Processor time that the entry program takes for a request and for a stream event."""

from __future__ import annotations

import cProfile
import http.client
import io
import pstats
import threading
import time

import fire

from flamingoramp import errors
from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import standin

HEADERS = {"Authorization": "Token k1", "X-Deadline-Ms": "8000"}
# Callers that ask at the same time, each on a connection that it keeps.
CALLERS = 4
SHORT_EVENTS = 1
LONG_EVENTS = 201
LINES_OF_PROFILE = 14


def main(requests: int = 400, profile: bool = True) -> None:
    """Print the processor time of plain requests, of streams, and of stream events.

    Parameters
    ----------
    requests : int
        Requests of each kind.
    profile : bool
        Whether to play once more under a profiler and print what takes the time.
    """
    fleet = fleets.Fleet(controls=1, entries=1)
    try:
        fleet.declare(1)
        fleet.wait_in_force(1)
        fleet.add_backend("desk", "desk")
        engine = fleet.add_backend("engine", "llm")
        _ask(fleet, "read", 50)
        plain = _measure(fleet, lambda: _ask(fleet, "read", requests)) / requests
        engine.behaviour = standin.Behaviour(events=SHORT_EVENTS)
        short = _measure(fleet, lambda: _ask(fleet, "stream", requests)) / requests
        engine.behaviour = standin.Behaviour(events=LONG_EVENTS, event_seconds=0.001)
        streams = max(1, requests // 10)
        long = _measure(fleet, lambda: _ask(fleet, "stream", streams)) / streams
        event = (long - short) / (LONG_EVENTS - SHORT_EVENTS)
        print(f"plain request: {plain * 1e6:.0f} us of the entry's thread")
        print(f"stream of one event: {short * 1e6:.0f} us")
        print(f"further event: {event * 1e6:.0f} us")
        if profile:
            engine.behaviour = standin.Behaviour(events=SHORT_EVENTS)
            _profile(fleet, lambda: _ask(fleet, "stream", requests))
    finally:
        fleet.close()


def _measure(fleet: fleets.Fleet, play) -> float:
    """Return the processor time of the entry's thread while something is played, in seconds."""
    entry = fleet.entries[0]
    before = entry.call(time.thread_time)
    play()
    return entry.call(time.thread_time) - before


def _ask(fleet: fleets.Fleet, route: str, count: int) -> None:
    """Send requests from several callers and read all answers."""
    threads = [
        threading.Thread(target=_ask_in_turn, args=(fleet.front(), route, number, count // CALLERS))
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _ask_in_turn(front: str, route: str, caller: int, count: int) -> None:
    connection = http.client.HTTPConnection(front, timeout=30)
    for number in range(count):
        headers = {**HEADERS, "Host": fleets.HOST, "X-Attempt-Id": f"{caller}-{number}"}
        if route == "stream":
            headers["X-Token-Count"] = "1000,100"
        connection.request("GET" if route == "read" else "POST", f"/{route}/x", headers=headers)
        answer = connection.getresponse()
        answer.read()
        if answer.status != 200:
            raise errors.BackendFailedError(f"{route}: status {answer.status}")
    connection.close()


def _profile(fleet: fleets.Fleet, play) -> None:
    """Play under a profiler in the entry's thread and print the most expensive functions."""
    profiler = cProfile.Profile()
    entry = fleet.entries[0]
    entry.call(profiler.enable)
    play()
    entry.call(profiler.disable)
    text = io.StringIO()
    pstats.Stats(profiler, stream=text).sort_stats("tottime").print_stats(LINES_OF_PROFILE)
    print(text.getvalue())


if __name__ == "__main__":
    fire.Fire(main)
