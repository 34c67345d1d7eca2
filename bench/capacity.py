"""Capacity benchmark: how costs of control replicas, entries and shard owners grow with their load.

An entry is a daemon that accepts requests; a shard owner is the entry that schedules the requests
of a shard of a service. For docs/CAPACITY.md, a line is fitted to the costs at several numbers of
entries, engines, claims, workspaces, held requests or log entries. Most benchmarks run the
production state machines in this process and include the encoding of messages; that of
announcements runs an entry in a process of its own.
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

from bench import fleets
from flamingoramp.backends import transfers
from flamingoramp.consensus import effects, storage
from flamingoramp.daemons import control
from flamingoramp.dispatch import claims
from flamingoramp.intent import commands, declarations, state
from flamingoramp.membership import control_session
from flamingoramp.protocol import codec, messages, shard_messages
from flamingoramp.routing import isolation, scheduler
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import settings as settings_module
from flamingoramp.tests import worlds

OUTPUT_FOLDER = fleets.ROOT / "out"
ENGINES_PER_SHARD = 30
ENTRY_COUNTS = (40, 80, 160, 330)
ENGINE_COUNTS = (8, 16, 32, 64)
CLAIM_COUNTS = (10_000, 20_000, 40_000, 80_000)
ANNOUNCING_ENGINE_COUNTS = (8, 16, 32, 64)
WORKSPACE_COUNTS = (1000, 2000, 4000, 8500)
HELD_REQUEST_COUNTS = (25, 50, 100, 200)
TIMING_ROUND_COUNT = 5


@attrs.define
class LinearFit:
    """Costs at several sizes, and the line fitted to them: cost = base + slope x size."""

    name: str
    unit: str
    sizes: list[float]
    costs: list[float]

    def fit(self) -> tuple[float, float, float]:
        """Return slope, base and correlation coefficient of the least-squares fit."""
        slope, base = statistics.linear_regression(self.sizes, self.costs)
        return slope, base, statistics.correlation(self.sizes, self.costs)

    def format_row(self) -> str:
        """Return a row of the Markdown table that `main` prints."""
        slope, base, correlation = self.fit()
        points = ", ".join(f"{s:g}: {c:.4g}" for s, c in zip(self.sizes, self.costs, strict=True))
        fitted = f"{slope:.4g} | {base:.4g} | {correlation:.3f}"
        return f"| {self.name} | {points} | {fitted} | {self.unit} |"


def time_calls(function: Callable[[], Any], count: int) -> float:
    """Return the CPU time of one call in microseconds, the least of `TIMING_ROUND_COUNT` rounds.

    Each round calls the function ``count`` times after a garbage collection.
    """
    best_seconds = float("inf")
    for _ in range(TIMING_ROUND_COUNT):
        gc.collect()
        start = time.process_time()
        for _ in range(count):
            function()
        best_seconds = min(best_seconds, (time.process_time() - start) / count)
    return best_seconds * 1e6


class _ReplySizeRecorder:
    """Stand-in for a connection: encodes each reply and keeps the size of the last one."""

    def __init__(self):
        self.last_reply_bytes = 0

    def send(self, message: Any) -> None:
        self.last_reply_bytes = len(codec.encode("control", message))


def make_leader(entry_count: int) -> tuple[control.Control, worlds.Simulation, list[bytes]]:
    """Return a leading control replica, its simulation, and encoded heartbeats of its entries.

    The heartbeats come without their 4-byte length prefix, as `codec.decode` takes them. Each
    entry has a session, and its heartbeat carries the current revision and table version, so
    that the replica answers without the ownership table.
    """
    simulation = worlds.Simulation(1)
    simulation.message_faults_disabled = True
    host = settings_module.HostSettings("h0", "z", control_port=1, control_inner_port=2)
    settings = settings_module.Settings("capacity", (host,), seed=1)
    simulated_node = simulation.add_node("control0")
    simulated_node.clock_rate = 1.0
    daemon = control.Control(
        settings,
        host,
        make_process=functools.partial(worlds.SimulatedProcess, simulation, simulated_node),
        store=worlds.SimulatedDisk(),
    )
    simulated_node.daemon = daemon
    simulation.advance(3)
    # There are 600 engines for every 330 entries.
    shard_count = max(1, entry_count * 600 // 330 // ENGINES_PER_SHARD)
    service = declarations.ServiceDeclaration("llm", shards=shard_count)
    document = declarations.render(declarations.Declaration((service,)))
    now = daemon.process.loop.now()
    daemon.propose(commands.StorePlan("p", 0, document, 1e12, 0.0), ignore_result, ignore_result)
    daemon.propose(commands.ConfirmPlan("p", "o", 0.0), ignore_result, ignore_result)
    heartbeats = [make_heartbeat(number, now) for number in range(entry_count)]
    for heartbeat in heartbeats:
        daemon._handle_message("entry", heartbeat, _ReplySizeRecorder())
    simulation.advance(1)
    current_heartbeats = [
        attrs.evolve(heartbeat, revision=1, table_version=daemon._ownership_table.version)
        for heartbeat in heartbeats
    ]
    return (
        daemon,
        simulation,
        [codec.encode("entry", heartbeat)[4:] for heartbeat in current_heartbeats],
    )


def ignore_result(_result: Any) -> None:
    """Do nothing with the result of a proposal."""


def make_heartbeat(number: int, now: float) -> shard_messages.SessionHeartbeat:
    """Return the first heartbeat of entry ``number``, which has no revision and no table yet."""
    return shard_messages.SessionHeartbeat(
        entry=f"hall-{number % 5}-{number}",
        incarnation="0123456789ab",
        sent_at=now,
        url=f"http://10.0.{number // 250}.{number % 250}:18000",
        inner=f"10.0.{number // 250}.{number % 250}:18100",
        zone=f"zone-{number % 5}",
    )


def measure_leader() -> list[LinearFit]:
    """Return the leader's costs of heartbeats and shard assignment, and a table reply's bytes."""
    microseconds_per_heartbeat, microseconds_per_assignment, table_bytes = [], [], []
    for entry_count in ENTRY_COUNTS:
        daemon, _, heartbeats = make_leader(entry_count)
        reply_recorder = _ReplySizeRecorder()

        def handle_messages(
            daemon=daemon, heartbeats=heartbeats, reply_recorder=reply_recorder
        ) -> None:
            for heartbeat in heartbeats:
                daemon._handle_message("entry", codec.decode(heartbeat).message, reply_recorder)

        microseconds_per_heartbeat.append(time_calls(handle_messages, 3) / entry_count)
        microseconds_per_assignment.append(time_calls(daemon._assign_shards, 20))
        first_heartbeat = codec.decode(heartbeats[0]).message
        daemon._handle_message(
            "entry", attrs.evolve(first_heartbeat, table_version=0), reply_recorder
        )
        table_bytes.append(float(reply_recorder.last_reply_bytes))
    sizes = [float(size) for size in ENTRY_COUNTS]
    return [
        LinearFit("leader: one heartbeat, by entries", "µs", sizes, microseconds_per_heartbeat),
        LinearFit("leader: table and owners, by entries", "µs", sizes, microseconds_per_assignment),
        LinearFit("leader: answer with the whole table, by entries", "bytes", sizes, table_bytes),
    ]


def measure_entry_session() -> dict[str, float]:
    """Return sizes and an entry's CPU time of a heartbeat and its grant, with 330 entries."""
    entry_session = control_session.ControlSession(make_heartbeat(1, 0.0), ("h0", "h1", "h2"))
    daemon, _, heartbeats = make_leader(330)
    reply_recorder = _ReplySizeRecorder()
    daemon._handle_message("entry", codec.decode(heartbeats[0]).message, reply_recorder)
    grant = shard_messages.SessionGrant(
        sent_at=1.0, granted=True, leader="h0#0123456789abcdef", term=3, revision=0,
        lease_seconds=5.0, table_version=daemon._ownership_table.version,
    )  # fmt: skip
    send_times = iter(range(1, 10**9))

    def handle_messages() -> None:
        heartbeat = entry_session.make_heartbeat(1.0, leaving=False, streams=10)
        codec.encode("entry", heartbeat)
        sent = attrs.evolve(grant, sent_at=float(next(send_times)))
        entry_session.handle(codec.decode(codec.encode("c", sent)[4:]).message, 1.0)

    return {
        "heartbeat_bytes": len(heartbeats[0]) + 4,
        "grant_bytes": reply_recorder.last_reply_bytes,
        "session_microseconds": time_calls(handle_messages, 300),
    }


def make_shard_owner(engine_count: int) -> scheduler.Scheduler:
    """Return the scheduler of a shard owner that has got an announcement of each engine."""
    service = declarations.ServiceDeclaration("llm")
    workspace = declarations.WorkspaceDeclaration("w", max_waiting=10_000)
    shard_owner = scheduler.Scheduler(
        shard="llm/0",
        declaration=declarations.Declaration((service,), (workspace,)),
        lease_seconds=1e9,
        reservation_expiry_seconds=1e9,
        crash_tracker=isolation.CrashTracker("c"),
    )
    shard_owner.begin_ownership(1, set(), 0.0)
    for number in range(engine_count):
        shard_owner.handle(make_announcement(number, 1), 0.1)
    return shard_owner


def make_announcement(number: int, sequence: int) -> shard_messages.Announcement:
    """Return an announcement of engine ``number``; its next one needs a higher ``sequence``."""
    return shard_messages.Announcement(
        server=f"engine-{number}", service="llm", incarnation=1, sequence=sequence,
        url=f"http://10.1.{number // 250}.{number % 250}:9000", zone="z",
        memory_tokens=3_000_000, slots=256, prefill_rate=4e4, decode_seconds=0.02,
        models=("m@1",),
    )  # fmt: skip


def measure_owner() -> list[LinearFit]:
    """Return a shard owner's costs of requests, announcements and ticks, by number of engines.

    A request costs three messages: reservation, end of prefill and release.
    """
    microseconds_per_request, microseconds_per_announcement, microseconds_per_tick = [], [], []
    for engine_count in ENGINE_COUNTS:
        shard_owner = make_shard_owner(engine_count)
        request_numbers = iter(range(10**9))

        def handle_messages(shard_owner=shard_owner, request_numbers=request_numbers) -> None:
            number = next(request_numbers)
            reserve = shard_messages.Reserve(
                request_id=f"{number:032x}", attempt=1, service="llm", shard="llm/0",
                workspace="w", model="m", prompt_tokens=2000, output_tokens=300,
                prefix_hashes=(number, number + 1), remaining=60.0, entry="e",
                entry_address="10.0.0.1:18100", zone="z", fingerprint=f"{number:032x}",
            )  # fmt: skip
            now = 5.0 + number / 200
            decoded = codec.decode(codec.encode("e", reserve)[4:]).message
            for effect in shard_owner.handle(decoded, now):
                if hasattr(effect, "message"):
                    codec.encode("o", effect.message)
            prefill_done = shard_messages.PrefillDone(reserve.request_id, 1, "llm/0", 0.1)
            shard_owner.handle(
                codec.decode(codec.encode("e", prefill_done)[4:]).message, now + 0.01
            )
            release = shard_messages.Release(reserve.request_id, 1, "llm/0", "done", "engine-1")
            shard_owner.handle(codec.decode(codec.encode("e", release)[4:]).message, now + 0.02)

        microseconds_per_request.append(time_calls(handle_messages, 300))
        sequence_numbers = iter(range(2, 10**9))

        def announce(shard_owner=shard_owner, sequence_numbers=sequence_numbers) -> None:
            message = make_announcement(1, next(sequence_numbers))
            shard_owner.handle(codec.decode(codec.encode("e", message)[4:]).message, 1e6)

        microseconds_per_announcement.append(time_calls(announce, 300))
        microseconds_per_tick.append(
            time_calls(lambda shard_owner=shard_owner: shard_owner.tick(1e6), 300)
        )
    sizes = [float(size) for size in ENGINE_COUNTS]
    return [
        LinearFit(
            "owner: one request, by engines of the shard", "µs", sizes, microseconds_per_request
        ),
        LinearFit(
            "owner: one forwarded announcement, by engines",
            "µs",
            sizes,
            microseconds_per_announcement,
        ),
        LinearFit("owner: one tick (50 a second), by engines", "µs", sizes, microseconds_per_tick),
    ]


def measure_hold_reports() -> LinearFit:
    """Return the size of a hold report by the number of requests whose reservations it renews."""
    sizes, costs = [], []
    for request_count in HELD_REQUEST_COUNTS:
        renewed = tuple(f"{number:032x}/1" for number in range(request_count))
        report = shard_messages.HoldReport("hall-1-100", "10.0.0.1:18100", "llm/0", renewed=renewed)
        sizes.append(float(request_count))
        costs.append(float(len(codec.encode("entry-hall-1-100", report))))
    return LinearFit("entry: hold report, by requests held", "bytes", sizes, costs)


def measure_claims() -> list[LinearFit]:
    """Return memory, snapshot size and CPU time of completed claims in the replicated state."""
    memory_bytes, snapshot_bytes, microseconds_per_claim = [], [], []
    for count in CLAIM_COUNTS:
        gc.collect()
        resident_bytes_before = resident_bytes()
        replicated_state = state.ReplicatedState(claims.ClaimLimits(max_claims=10**9))
        start = time.process_time()
        for number in range(count):
            request = f"{number:032x}"
            key = f"17647932{number % 100:02d}-{number}"
            replicated_state.apply(
                commands.MakeClaim(request, "buses", key, request, "e1", 1e9, 1.0)
            )
            replicated_state.apply(
                commands.SettleClaim(request, "buses", key, "done", 200, "x" * 100, 2.0)
            )
        microseconds_per_claim.append((time.process_time() - start) / count * 1e6)
        memory_bytes.append(float(resident_bytes() - resident_bytes_before))
        snapshot_bytes.append(float(len(replicated_state.dump())))
        del replicated_state
    sizes = [float(size) for size in CLAIM_COUNTS]
    return [
        LinearFit("control: memory, by claims kept", "bytes", sizes, memory_bytes),
        LinearFit("control: snapshot, by claims kept", "bytes", sizes, snapshot_bytes),
        LinearFit(
            "control: applying one claim and its outcome, by claims kept",
            "µs",
            sizes,
            microseconds_per_claim,
        ),
    ]


def measure_declaration() -> list[LinearFit]:
    """Return the size of a declaration and the CPU time of parsing it, by number of workspaces."""
    declaration_bytes, parse_milliseconds = [], []
    for count in WORKSPACE_COUNTS:
        workspaces = tuple(
            declarations.WorkspaceDeclaration(f"workspace-{number}") for number in range(count)
        )
        text = declarations.render(declarations.Declaration(workspaces=workspaces))
        declaration_bytes.append(float(len(text)))
        parse_milliseconds.append(
            time_calls(functools.partial(declarations.parse, text, "x"), 1) / 1000
        )
    sizes = [float(size) for size in WORKSPACE_COUNTS]
    return [
        LinearFit("declaration: size, by workspaces", "bytes", sizes, declaration_bytes),
        LinearFit("entry: reading a declaration, by workspaces", "ms", sizes, parse_milliseconds),
    ]


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def measure_log_writes() -> list[LinearFit]:
    """Return the wall time of one synced write to the log, by the number of log entries in it."""
    sizes, costs = [], []
    with tempfile.TemporaryDirectory(dir=OUTPUT_FOLDER) as folder:
        log_storage = storage.Storage(pathlib.Path(folder) / "log")
        log_storage.recover()
        index = 0
        for batch_size in (1, 10, 50, 100):
            start = time.monotonic()
            for _ in range(30):
                log_entries = []
                for _ in range(batch_size):
                    index += 1
                    log_entries.append(messages.LogEntry(index, 1, "MakeClaim", b"x" * 200))
                persist = effects.Persist(effects.HardState(1, "a", "c"), 0, tuple(log_entries))
                log_storage.persist([persist])
            sizes.append(float(batch_size))
            costs.append((time.monotonic() - start) / 30 * 1e3)
        log_storage.close()
    return [LinearFit("control: one synced write, by entries in it", "ms", sizes, costs)]


def measure_announcements() -> list[LinearFit]:
    """Return CPU use and memory of an entry that owns a shard, by the engines announcing to it."""
    host = {
        "name": "h0", "availability_zone": "z", "entry_port": 1, "entry_inner_port": 1,
        "control_port": 1, "control_inner_port": 1, "data_folder": "d",
    }  # fmt: skip
    fleet = fleets.Fleet(
        OUTPUT_FOLDER / "fleet-capacity", {"deployment": "capacity", "hosts": [host]}
    )
    sizes, cpu_percents, memory_mebibytes = [], [], []
    try:
        fleet.start_daemons()
        fleet.wait_leader()
        fleet.apply({"services": [{"name": "llm", "models": [{"name": "m"}]}]})
        fleet.wait_ready()
        url = fleet.entry_urls[0] + "/v1/announce"
        for engine_count in ANNOUNCING_ENGINE_COUNTS:
            cpu_cores = measure_announcement_cpu(fleet, url, engine_count, seconds=6.0)
            sizes.append(float(engine_count))
            cpu_percents.append(cpu_cores * 100)
            memory_mebibytes.append(fleet.resident_bytes("entry-h0") / 2**20)
    finally:
        fleet.close()
    return [
        LinearFit(
            "entry: announcements once a second, by engines", "% of a core", sizes, cpu_percents
        ),
        LinearFit("entry: memory, by engines", "MiB", sizes, memory_mebibytes),
    ]


def measure_announcement_cpu(
    fleet: fleets.Fleet, url: str, engine_count: int, *, seconds: float
) -> float:
    """Announce each engine once a second and return the number of cores that the entry uses.

    The measurement lasts ``seconds`` after 2 s of warm-up.
    """
    loop = loops.Loop()
    http_transfers = transfers.TransferClient(loop)
    sequence = time.time_ns()

    def announce(number: int) -> None:
        nonlocal sequence
        sequence += 1
        body = json.dumps(attrs.asdict(make_announcement(number, sequence))).encode()
        call = transfers.HttpRequest(
            url=url, body=body, headers=("Content-Type: application/json",)
        )
        http_transfers.start(call, on_data=lambda _data: None, on_end=lambda _ending, _status: None)

    for number in range(engine_count):
        loop.call_later(
            number / engine_count,
            functools.partial(loop.call_every, 1.0, functools.partial(announce, number)),
        )
    warm_up_end = loop.now() + 2.0
    while loop.now() < warm_up_end:
        loop.run_once(0.1)
    cpu_before, start = fleet.cpu_seconds("entry-h0"), loop.now()
    while loop.now() < start + seconds:
        loop.run_once(0.1)
    cpu_cores = (fleet.cpu_seconds("entry-h0") - cpu_before) / (loop.now() - start)
    http_transfers.close()
    loop.close()
    return cpu_cores


def main() -> None:
    """Run all benchmarks, print the results and write them to out/capacity.json."""
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    fits = measure_leader() + measure_owner() + [measure_hold_reports()]
    fits += measure_declaration()
    fits += measure_claims() + measure_log_writes() + measure_announcements()
    print("| what | size: cost | slope | base | r | unit |\n|---|---|---|---|---|---|")
    for cost_fit in fits:
        print(cost_fit.format_row())
    session_costs = measure_entry_session()
    for name, value in session_costs.items():
        print(f"{name}: {value:.1f}")
    report = {
        "slopes": [attrs.asdict(linear_fit) for linear_fit in fits],
        "session": session_costs,
    }
    (OUTPUT_FOLDER / "capacity.json").write_text(json.dumps(report, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
