"""Benchmark of the entry's processor time for a plain request, a stream and a stream event."""

from __future__ import annotations

import cProfile
import http.client
import io
import pstats
import threading
import time

import fire

from flamingoramp import errors
from flamingoramp.platform.tests import fake_server
from flamingoramp.platform.tests import fleet as fleets

HEADERS = {"Authorization": "Token k1", "X-Deadline-Ms": "8000"}
# Concurrent callers, each with a persistent connection.
CALLER_COUNT = 4
SHORT_STREAM_EVENT_COUNT = 1
LONG_STREAM_EVENT_COUNT = 201
PROFILE_LINE_COUNT = 14


def main(requests: int = 400, profile: bool = True) -> None:
    """Print the processor time of plain requests, of streams, and of stream events.

    Parameters
    ----------
    requests : int
        Number of requests of each kind.
    profile : bool
        Whether to repeat the streams under a profiler and print the most expensive functions.
    """
    fleet = fleets.Fleet(controls=1, entries=1)
    try:
        fleet.declare(1)
        fleet.wait_in_force(1)
        fleet.add_server("desk", "desk")
        engine = fleet.add_server("engine", "llm")
        _send_requests(fleet, "read", 50)
        plain_seconds = (
            _measure_processor_seconds(fleet, lambda: _send_requests(fleet, "read", requests))
            / requests
        )
        engine.behaviour = fake_server.Behaviour(event_count=SHORT_STREAM_EVENT_COUNT)
        short_seconds = (
            _measure_processor_seconds(fleet, lambda: _send_requests(fleet, "stream", requests))
            / requests
        )
        engine.behaviour = fake_server.Behaviour(
            event_count=LONG_STREAM_EVENT_COUNT, event_interval_seconds=0.001
        )
        long_stream_count = max(1, requests // 10)
        long_seconds = (
            _measure_processor_seconds(
                fleet, lambda: _send_requests(fleet, "stream", long_stream_count)
            )
            / long_stream_count
        )
        event_seconds = (long_seconds - short_seconds) / (
            LONG_STREAM_EVENT_COUNT - SHORT_STREAM_EVENT_COUNT
        )
        print(f"plain request: {plain_seconds * 1e6:.0f} us of the entry's thread")
        print(f"stream of one event: {short_seconds * 1e6:.0f} us")
        print(f"further event: {event_seconds * 1e6:.0f} us")
        if profile:
            engine.behaviour = fake_server.Behaviour(event_count=SHORT_STREAM_EVENT_COUNT)
            _print_profile(fleet, lambda: _send_requests(fleet, "stream", requests))
    finally:
        fleet.close()


def _measure_processor_seconds(fleet: fleets.Fleet, run_load) -> float:
    """Return the processor time of the entry's thread while a load runs, in seconds."""
    entry = fleet.entries[0]
    start_seconds = entry.call(time.thread_time)
    run_load()
    return entry.call(time.thread_time) - start_seconds


def _send_requests(fleet: fleets.Fleet, route: str, count: int) -> None:
    """Send requests from `CALLER_COUNT` concurrent callers and read all answers."""
    threads = [
        threading.Thread(
            target=_send_in_sequence,
            args=(fleet.caller_address(), route, number, count // CALLER_COUNT),
        )
        for number in range(CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _send_in_sequence(caller_address: str, route: str, caller: int, count: int) -> None:
    connection = http.client.HTTPConnection(caller_address, timeout=30)
    for number in range(count):
        headers = {**HEADERS, "Host": fleets.ROUTE_HOST, "X-Attempt-Id": f"{caller}-{number}"}
        if route == "stream":
            headers["X-Token-Count"] = "1000,100"
        connection.request("GET" if route == "read" else "POST", f"/{route}/x", headers=headers)
        answer = connection.getresponse()
        answer.read()
        if answer.status != 200:
            raise errors.BackendFailedError(f"{route}: status {answer.status}")
    connection.close()


def _print_profile(fleet: fleets.Fleet, run_load) -> None:
    """Run a load while the entry's thread is profiled; print the most expensive functions."""
    profiler = cProfile.Profile()
    entry = fleet.entries[0]
    entry.call(profiler.enable)
    run_load()
    entry.call(profiler.disable)
    report = io.StringIO()
    pstats.Stats(profiler, stream=report).sort_stats("tottime").print_stats(PROFILE_LINE_COUNT)
    print(report.getvalue())


if __name__ == "__main__":
    fire.Fire(main)
