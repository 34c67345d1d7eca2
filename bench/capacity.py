"""Slopes behind docs/CAPACITY.md: cost of control by the number of entries, engines and claims.

Most are measured with the real state machines in this process, encoding included; announcements
with a real entry process.
"""

from __future__ import annotations

import functools
import gc
import json
import pathlib
import resource
import statistics
import tempfile
import time
from collections.abc import Callable
from typing import Any

import attrs
import fire

from bench import fleet as fleets
from flamingoramp.backends import transfers
from flamingoramp.consensus import effects, storage
from flamingoramp.daemons import control
from flamingoramp.dispatch import claims
from flamingoramp.intent import commands, declarations, state
from flamingoramp.membership import control_session
from flamingoramp.protocol import codec, messages
from flamingoramp.routing import isolation, scheduler
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import settings as settings_module
from flamingoramp.tests import worlds

OUT = fleets.ROOT / "out"
ENGINES_PER_SHARD = 30
ENTRY_SIZES = (40, 80, 160, 330)
ENGINE_SIZES = (8, 16, 32, 64)
CLAIM_SIZES = (10_000, 20_000, 40_000, 80_000)
ANNOUNCING_SIZES = (8, 16, 32, 64)
WORKSPACE_SIZES = (1000, 2000, 4000, 8500)
FLIGHT_SIZES = (25, 50, 100, 200)
ROUNDS = 5


@attrs.define
class Slope:
    """A measured line: cost = base + slope x size."""

    name: str
    unit: str
    sizes: list[float]
    costs: list[float]

    def fit(self) -> tuple[float, float, float]:
        """Return slope, base and correlation."""
        slope, base = statistics.linear_regression(self.sizes, self.costs)
        return slope, base, statistics.correlation(self.sizes, self.costs)

    def describe(self) -> str:
        """Return a row of a table."""
        slope, base, correlation = self.fit()
        points = ", ".join(f"{s:g}: {c:.4g}" for s, c in zip(self.sizes, self.costs, strict=True))
        fitted = f"{slope:.4g} | {base:.4g} | {correlation:.3f}"
        return f"| {self.name} | {points} | {fitted} | {self.unit} |"


def time_calls(call: Callable[[], Any], count: int) -> float:
    """Return the processor time of one call in microseconds, the best of some rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        gc.collect()
        begun = time.process_time()
        for _ in range(count):
            call()
        best = min(best, (time.process_time() - begun) / count)
    return best * 1e6


class _Replies:
    """Stands for a connection: encodes replies and counts their bytes."""

    def __init__(self):
        self.bytes = 0

    def send(self, message: Any) -> None:
        """Encode a reply."""
        self.bytes = len(codec.encode("control", message))


def make_leader(entries: int) -> tuple[control.Control, worlds.Simulation, list[bytes]]:
    """Return a leading control replica with sessions of many entries, and their heartbeats."""
    world = worlds.Simulation(1)
    world.message_faults_disabled = True
    host = settings_module.HostSettings("h0", "z", control_port=1, control_inner_port=2)
    settings = settings_module.Settings("capacity", (host,), seed=1)
    node = world.add_node("control0")
    node.clock_rate = 1.0
    daemon = control.Control(
        settings,
        host,
        make_process=functools.partial(worlds.SimulatedProcess, world, node),
        store=worlds.SimulatedDisk(),
    )
    node.daemon = daemon
    world.advance(3)
    shards = max(1, entries * 600 // 330 // ENGINES_PER_SHARD)
    service = declarations.ServiceDeclaration("llm", shards=shards)
    document = declarations.render(declarations.Declaration((service,)))
    now = daemon.process.loop.now()
    daemon.propose(commands.StorePlan("p", 0, document, 1e12, 0.0), print_nothing, print_nothing)
    daemon.propose(commands.ConfirmPlan("p", "o", 0.0), print_nothing, print_nothing)
    beats = [make_heartbeat(number, now) for number in range(entries)]
    for beat in beats:
        daemon._handle_message("entry", beat, _Replies())
    world.advance(1)
    current = [
        attrs.evolve(beat, revision=1, table_version=daemon._ownership_table.version)
        for beat in beats
    ]
    return daemon, world, [codec.encode("entry", beat)[4:] for beat in current]


def print_nothing(_result: Any) -> None:
    """Take a result and do nothing."""


def make_heartbeat(number: int, now: float) -> messages.SessionHeartbeat:
    """Return an entry's heartbeat."""
    return messages.SessionHeartbeat(
        entry=f"hall-{number % 5}-{number}",
        incarnation="0123456789ab",
        sent_at=now,
        url=f"http://10.0.{number // 250}.{number % 250}:18000",
        inner=f"10.0.{number // 250}.{number % 250}:18100",
        zone=f"zone-{number % 5}",
    )


def measure_leader() -> list[Slope]:
    """Cost of heartbeats at the leading control replica."""
    per_beat, per_table, table_bytes = [], [], []
    for entries in ENTRY_SIZES:
        daemon, _, beats = make_leader(entries)
        replies = _Replies()

        def turn(daemon=daemon, beats=beats, replies=replies) -> None:
            for beat in beats:
                daemon._handle_message("entry", codec.decode(beat).message, replies)

        per_beat.append(time_calls(turn, 3) / entries)
        per_table.append(time_calls(daemon._assign_shards, 20))
        first = codec.decode(beats[0]).message
        daemon._handle_message("entry", attrs.evolve(first, table_version=0), replies)
        table_bytes.append(float(replies.bytes))
    sizes = [float(size) for size in ENTRY_SIZES]
    return [
        Slope("leader: one heartbeat, by entries", "µs", sizes, per_beat),
        Slope("leader: table and owners, by entries", "µs", sizes, per_table),
        Slope("leader: answer with the whole table, by entries", "bytes", sizes, table_bytes),
    ]


def measure_session() -> dict[str, float]:
    """Cost and bytes of an entry's session, at letter 1's size."""
    entry_session = control_session.ControlSession(make_heartbeat(1, 0.0), ("h0", "h1", "h2"))
    daemon, _, beats = make_leader(330)
    replies = _Replies()
    daemon._handle_message("entry", codec.decode(beats[0]).message, replies)
    grant = messages.SessionGrant(
        sent_at=1.0, granted=True, leader="h0#0123456789abcdef", term=3, revision=0,
        lease_seconds=5.0, table_version=daemon._ownership_table.version,
    )  # fmt: skip
    counter = iter(range(1, 10**9))

    def turn() -> None:
        beat = entry_session.make_heartbeat(1.0, leaving=False, streams=10)
        codec.encode("entry", beat)
        sent = attrs.evolve(grant, sent_at=float(next(counter)))
        entry_session.handle(codec.decode(codec.encode("c", sent)[4:]).message, 1.0)

    return {
        "heartbeat_bytes": len(beats[0]) + 4,
        "grant_bytes": replies.bytes,
        "session_microseconds": time_calls(turn, 300),
    }


def make_owner(engines: int) -> scheduler.Scheduler:
    """Return the owner of a shard with engines that have all announced themselves."""
    service = declarations.ServiceDeclaration("llm")
    workspace = declarations.WorkspaceDeclaration("w", max_waiting=10_000)
    owned = scheduler.Scheduler(
        shard="llm/0",
        declaration=declarations.Declaration((service,), (workspace,)),
        lease_seconds=1e9,
        reservation_expiry_seconds=1e9,
        crash_tracker=isolation.CrashTracker("c"),
    )
    owned.begin_ownership(1, set(), 0.0)
    for number in range(engines):
        owned.handle(make_announcement(number, 1), 0.1)
    return owned


def make_announcement(number: int, sequence: int) -> messages.Announcement:
    """Return an engine's announcement."""
    return messages.Announcement(
        server=f"engine-{number}", service="llm", incarnation=1, sequence=sequence,
        url=f"http://10.1.{number // 250}.{number % 250}:9000", zone="z",
        memory_tokens=3_000_000, slots=256, prefill_rate=4e4, decode_seconds=0.02,
        models=("m@1",),
    )  # fmt: skip


def measure_owner() -> list[Slope]:
    """Cost of a request's messages at the owner, and of announcements, by engines."""
    per_request, per_announcement, idle_tick = [], [], []
    for engines in ENGINE_SIZES:
        owned = make_owner(engines)
        counter = iter(range(10**9))

        def turn(owned=owned, counter=counter) -> None:
            number = next(counter)
            reserve = messages.Reserve(
                request_id=f"{number:032x}", attempt=1, service="llm", shard="llm/0",
                workspace="w", model="m", prompt_tokens=2000, output_tokens=300,
                prefix_hashes=(number, number + 1), remaining=60.0, entry="e",
                entry_address="10.0.0.1:18100", zone="z", fingerprint=f"{number:032x}",
            )  # fmt: skip
            now = 5.0 + number / 200
            received = codec.decode(codec.encode("e", reserve)[4:]).message
            for effect in owned.handle(received, now):
                if hasattr(effect, "message"):
                    codec.encode("o", effect.message)
            done = messages.PrefillDone(reserve.request_id, 1, "llm/0", 0.1)
            owned.handle(codec.decode(codec.encode("e", done)[4:]).message, now + 0.01)
            release = messages.Release(reserve.request_id, 1, "llm/0", "done", "engine-1")
            owned.handle(codec.decode(codec.encode("e", release)[4:]).message, now + 0.02)

        per_request.append(time_calls(turn, 300))
        sequence = iter(range(2, 10**9))

        def announce(owned=owned, sequence=sequence) -> None:
            message = make_announcement(1, next(sequence))
            owned.handle(codec.decode(codec.encode("e", message)[4:]).message, 1e6)

        per_announcement.append(time_calls(announce, 300))
        idle_tick.append(time_calls(lambda owned=owned: owned.tick(1e6), 300))
    sizes = [float(size) for size in ENGINE_SIZES]
    return [
        Slope("owner: one request, by engines of the shard", "µs", sizes, per_request),
        Slope("owner: one forwarded announcement, by engines", "µs", sizes, per_announcement),
        Slope("owner: one tick (50 a second), by engines", "µs", sizes, idle_tick),
    ]


def measure_hold_reports() -> Slope:
    """Bytes of a hold report by the requests that it renews."""
    sizes, costs = [], []
    for flights in FLIGHT_SIZES:
        renewed = tuple(f"{number:032x}/1" for number in range(flights))
        report = messages.HoldReport("hall-1-100", "10.0.0.1:18100", "llm/0", renewed=renewed)
        sizes.append(float(flights))
        costs.append(float(len(codec.encode("entry-hall-1-100", report))))
    return Slope("entry: hold report, by requests held", "bytes", sizes, costs)


def measure_claims() -> list[Slope]:
    """Memory, snapshot size and time of claims."""
    memory, snapshot, seconds = [], [], []
    for count in CLAIM_SIZES:
        gc.collect()
        before = resource_bytes()
        table = state.ReplicatedState(claims.ClaimLimits(max_claims=10**9))
        begun = time.process_time()
        for number in range(count):
            request = f"{number:032x}"
            key = f"17647932{number % 100:02d}-{number}"
            table.apply(commands.MakeClaim(request, "buses", key, request, "e1", 1e9, 1.0))
            table.apply(commands.SettleClaim(request, "buses", key, "done", 200, "x" * 100, 2.0))
        seconds.append((time.process_time() - begun) / count * 1e6)
        memory.append(float(resource_bytes() - before))
        snapshot.append(float(len(table.dump())))
        del table
    sizes = [float(size) for size in CLAIM_SIZES]
    return [
        Slope("control: memory, by claims kept", "bytes", sizes, memory),
        Slope("control: snapshot, by claims kept", "bytes", sizes, snapshot),
        Slope("control: applying one claim and its outcome, by claims kept", "µs", sizes, seconds),
    ]


def measure_declaration() -> list[Slope]:
    """Size of a declaration and the time an entry takes to read it, by workspaces."""
    lengths, times = [], []
    for count in WORKSPACE_SIZES:
        workspaces = tuple(
            declarations.WorkspaceDeclaration(f"workspace-{number}") for number in range(count)
        )
        text = declarations.render(declarations.Declaration(workspaces=workspaces))
        lengths.append(float(len(text)))
        times.append(time_calls(functools.partial(declarations.parse, text, "x"), 1) / 1000)
    sizes = [float(size) for size in WORKSPACE_SIZES]
    return [
        Slope("declaration: size, by workspaces", "bytes", sizes, lengths),
        Slope("entry: reading a declaration, by workspaces", "ms", sizes, times),
    ]


def resource_bytes() -> int:
    """Return this process's resident memory."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def measure_log() -> list[Slope]:
    """Time of one synced write, by entries that share it."""
    sizes, costs = [], []
    with tempfile.TemporaryDirectory(dir=OUT) as folder:
        store = storage.Storage(pathlib.Path(folder) / "log")
        store.recover()
        index = 0
        for batch in (1, 10, 50, 100):
            begun = time.monotonic()
            for _ in range(30):
                entries = []
                for _ in range(batch):
                    index += 1
                    entries.append(messages.LogEntry(index, 1, "MakeClaim", b"x" * 200))
                persist = effects.Persist(effects.HardState(1, "a", "c"), 0, tuple(entries))
                store.persist([persist])
            sizes.append(float(batch))
            costs.append((time.monotonic() - begun) / 30 * 1e3)
        store.close()
    return [Slope("control: one synced write, by entries in it", "ms", sizes, costs)]


def measure_announcing() -> list[Slope]:
    """Processor share of a real entry that owns a shard, by engines that announce to it."""
    host = {
        "name": "h0", "availability_zone": "z", "entry_port": 1, "entry_inner_port": 1,
        "control_port": 1, "control_inner_port": 1, "data_folder": "d",
    }  # fmt: skip
    fleet = fleets.Fleet(OUT / "fleet-capacity", {"deployment": "capacity", "hosts": [host]})
    sizes, shares, memories = [], [], []
    try:
        fleet.start_daemons()
        fleet.leader()
        fleet.apply({"services": [{"name": "llm", "models": [{"name": "m"}]}]})
        fleet.wait_ready()
        url = fleet.entry_urls[0] + "/v1/announce"
        for engines in ANNOUNCING_SIZES:
            share = announce_for(fleet, url, engines, seconds=6.0)
            sizes.append(float(engines))
            shares.append(share * 100)
            memories.append(fleet.resident_bytes("entry-h0") / 2**20)
    finally:
        fleet.close()
    return [
        Slope("entry: announcements once a second, by engines", "% of a core", sizes, shares),
        Slope("entry: memory, by engines", "MiB", sizes, memories),
    ]


def announce_for(fleet: fleets.Fleet, url: str, engines: int, *, seconds: float) -> float:
    """Announce engines once a second and return the entry's processor share."""
    loop = loops.Loop()
    sender = transfers.Transfers(loop)
    sequence = time.time_ns()

    def announce(number: int) -> None:
        nonlocal sequence
        sequence += 1
        body = json.dumps(attrs.asdict(make_announcement(number, sequence))).encode()
        call = transfers.Call(url=url, body=body, headers=("Content-Type: application/json",))
        sender.start(call, on_data=lambda _data: None, on_end=lambda _ending, _status: None)

    for number in range(engines):
        loop.call_later(
            number / engines,
            functools.partial(loop.call_every, 1.0, functools.partial(announce, number)),
        )
    end = loop.now() + 2.0
    while loop.now() < end:
        loop.run_once(0.1)
    before, begun = fleet.processor_seconds("entry-h0"), loop.now()
    while loop.now() < begun + seconds:
        loop.run_once(0.1)
    share = (fleet.processor_seconds("entry-h0") - before) / (loop.now() - begun)
    sender.close()
    loop.close()
    return share


def main() -> None:
    """Measure all slopes and print them as tables."""
    OUT.mkdir(exist_ok=True)
    found = measure_leader() + measure_owner() + [measure_hold_reports()]
    found += measure_declaration()
    found += measure_claims() + measure_log() + measure_announcing()
    print("| what | size: cost | slope | base | r | unit |\n|---|---|---|---|---|---|")
    for slope in found:
        print(slope.describe())
    figures = measure_session()
    for name, value in figures.items():
        print(f"{name}: {value:.1f}")
    stored = {"slopes": [attrs.asdict(one) for one in found], "session": figures}
    (OUT / "capacity.json").write_text(json.dumps(stored, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
