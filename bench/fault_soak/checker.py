"""Checks the history of a soak against the system's promises.

Only what callers, servers and the operator saw is judged, never a log of the product. Rules with a
time bound hold for an entry that is in touch: undisturbed for `CONTACT_SECONDS`, with control hosts
that were undisturbed as long.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator

import attrs

from bench.fault_soak import history as histories

CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0
ROLLBACK_SECONDS = 0.25
LOST_SECONDS = 0.2
# An answer may come this long after the time limit of its request.
LATE_SECONDS = 1.0
# A request that was sent this long after SIGTERM or later must be refused if it can't end in time.
UNFINISHED_SECONDS = 3.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses that deny what every declaration allows.
DENIED_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 431})
MIN_SERVED_RATIO = 0.75
# Share of a run for which callers and servers may stand still; what they saw then proves nothing.
MAX_STALLED_RATIO = 0.1
# Growth from the lowest use in the second quarter of a process's samples to that in the last one.
MAX_NEW_KIB = 16 * 1024
MAX_NEW_DESCRIPTORS = 48
MAX_NEW_THREADS = 1
MIN_SAMPLE_COUNT = 40


@attrs.frozen
class Violation:
    """A broken promise, and the request, process or server that shows it."""

    promise: str
    subject: str
    text: str


class Facts:
    """Index of a history for the checks."""

    def __init__(self, history: histories.History):
        self.history = history
        self.runs: dict[str, list[histories.Run]] = collections.defaultdict(list)
        for run in history.runs:
            self.runs[run.request].append(run)
        self.requests = {request.id: request for request in history.requests}
        self.lives: dict[str, list[histories.Life]] = collections.defaultdict(list)
        for life in history.lives:
            self.lives[life.host].append(life)
        self._core_events = self._find_events("control")
        self._paused = {
            host: [
                at
                for life in lives
                for at, name in life.signals
                if name in ("SIGSTOP", "SIGCONT", "SIGKILL")
            ]
            for host, lives in self.lives.items()
        }

    def _find_events(self, role: str) -> list[float]:
        """Return the times of starts, ends and signals of the processes of a role."""
        times: list[float] = []
        for life in self.history.lives:
            if life.role == role:
                times += [life.started_at, *(at for at, name in life.signals)]
                times += [] if life.ended_at is None else [life.ended_at]
        return times

    def is_undisturbed(self, host: str, begin: float, end: float) -> bool:
        """Whether neither a host nor its callers stood still from `CONTACT_SECONDS` before."""
        return not self._has_stalled(begin, end) and not any(
            begin - CONTACT_SECONDS <= at <= end for at in self._paused.get(host, ())
        )

    def _has_stalled(self, begin: float, end: float) -> bool:
        return any(
            begin - CONTACT_SECONDS <= stall_end and stall_begin <= end
            for stall_begin, stall_end in self.history.stalls
        )

    def is_new(self, host: str, at: float) -> bool:
        """Whether a process of a host started in the `CONTACT_SECONDS` before a time."""
        return any(at - CONTACT_SECONDS <= life.started_at <= at for life in self.lives[host])

    def is_in_touch(self, host: str, begin: float, end: float) -> bool:
        """Whether an entry and all control hosts were undisturbed, planned work included."""
        times = list(self._core_events)
        for life in self.lives.get(host, ()):
            times += [life.started_at, *(at for at, _ in life.signals)]
        return not self._has_stalled(begin, end) and not any(
            begin - CONTACT_SECONDS <= at <= end for at in times
        )

    def find_life(self, host: str, at: float) -> histories.Life | None:
        """Return the process that a host ran at a time: of two, the one that started first."""
        for life in self.lives.get(host, ()):
            if life.started_at <= at and (life.ended_at is None or at <= life.ended_at + 0.05):
                return life
        return None

    def is_replaced(self, host: str, begin: float, end: float) -> bool:
        """Whether a host ran more than one process in a time."""
        lives = self.lives.get(host, ())
        return (
            sum(
                life.started_at <= end and (life.ended_at is None or life.ended_at >= begin)
                for life in lives
            )
            > 1
        )

    def find_stop(self, host: str, at: float) -> float | None:
        """Return when the process that a host ran at a time was first told to stop, before it."""
        life = self.find_life(host, at)
        signals = [] if life is None else life.signals
        return min((t for t, name in signals if name in _STOP_SIGNALS and t <= at), default=None)


_STOP_SIGNALS = ("SIGTERM", "SIGINT")


def check(history: histories.History) -> list[Violation]:
    """Return each broken promise of a history."""
    facts = Facts(history)
    checks = (
        _check_time_limits, _check_answers, _check_not_run, _check_single_runs, _check_departures,
        _check_lost, _check_routes, _check_reads, _check_errors, _check_processes, _check_resources,
        _check_recovery, _check_stalls,
    )  # fmt: skip
    return [violation for check_promise in checks for violation in check_promise(facts)]


def _check_time_limits(facts: Facts) -> Iterator[Violation]:
    """Promise 1: an admitted request finishes or fails within its time limit.

    Of a caller that reads slowly, only the wait for the head of the answer counts. A process that
    has just started is not in touch yet.
    """
    for request in facts.history.requests:
        if request.whole_at is None or request.ended_at is None:
            continue
        ended_at = request.headed_at if request.paused_until else request.ended_at
        seconds = ended_at - request.whole_at
        late = seconds > request.limit + LATE_SECONDS or request.end == "silent"
        is_undisturbed = facts.is_undisturbed(request.entry, request.began_at, request.ended_at)
        if late and is_undisturbed and not facts.is_new(request.entry, request.began_at):
            text = f"{request.end} after {seconds:.2f} s, limit {request.limit:.2f} s"
            yield Violation("1 time limit", request.id, text)


def _check_answers(facts: Facts) -> Iterator[Violation]:
    """Promise 3: the whole answer to the caller's own request, and only that."""
    for request in facts.history.requests:
        if request.end == "answered" and 200 <= request.status < 300 and not request.is_right:
            text = f"status {request.status}, looks complete, isn't the server's answer"
            yield Violation("3 whole answer", request.id, text)
    for run in facts.history.runs:
        if run.request not in facts.requests:
            yield Violation("3 whole answer", run.request, f"no caller sent it to {run.server}")
        elif not run.is_unchanged:
            yield Violation("3 whole answer", run.request, f"{run.server} got a changed request")


def _check_not_run(facts: Facts) -> Iterator[Violation]:
    """Promise 4: a request that is answered as not run has not run and never does."""
    for request in facts.history.requests:
        if request.status in NOT_RUN_STATUSES and request.id in facts.runs:
            run = facts.runs[request.id][0]
            text = f"status {request.status} at {request.ended_at:.2f}, run at {run.began_at:.2f}"
            yield Violation("4 not run", request.id, text)


def _check_single_runs(facts: Facts) -> Iterator[Violation]:
    """Promise 5: a request that may not be repeated runs at most once."""
    for request in facts.history.requests:
        runs = facts.runs.get(request.id, ())
        if len(runs) > 1 and not request.may_repeat:
            text = ", ".join(f"{run.server} at {run.began_at:.2f}" for run in runs)
            yield Violation("5 at most once", request.id, text)


def _check_departures(facts: Facts) -> Iterator[Violation]:
    """Promise 6: a server whose departure was acknowledged gets nothing new after a time."""
    times = {item.server: item.acknowledged_at for item in facts.history.departures}
    for run in facts.history.runs:
        left_at = times.get(run.server)
        request = facts.requests.get(run.request)
        if left_at is None or request is None or run.began_at <= left_at + DRAIN_SECONDS:
            continue
        if facts.is_in_touch(request.entry, request.began_at, run.began_at):
            text = f"run by {run.server} {run.began_at - left_at:.2f} s after its departure"
            yield Violation("6 departure", request.id, text)


def _check_lost(facts: Facts) -> Iterator[Violation]:
    """Promise 7: a planned stop cuts nothing short, and resets no connection."""
    for request in facts.history.requests:
        if request.ended_at is None or request.end in ("answered", "silent"):
            continue
        stop_at = facts.find_stop(request.entry, request.ended_at)
        if not facts.is_undisturbed(request.entry, request.began_at, request.ended_at):
            continue
        since = "" if stop_at is None else f", {request.ended_at - stop_at:.2f} s after SIGTERM"
        runs = facts.runs.get(request.id, ())
        if request.end == "reset":
            yield Violation("7 no reset", request.id, f"reset by {request.entry}{since}")
        elif request.whole_at is not None and runs:
            if not _is_excused(request, runs, stop_at, facts.history.grace_seconds):
                text = f"{request.end} though {runs[-1].server} ran it{since}"
                yield Violation("7 planned stop", request.id, text)
        elif request.end == "cut":
            yield Violation("7 planned stop", request.id, f"an answer was cut{since}")
        elif request.ended_at > (request.whole_at or request.began_at) + LOST_SECONDS:
            yield Violation("7 planned stop", request.id, f"closed without an answer{since}")


def _is_excused(
    request: histories.Request,
    runs: list[histories.Run],
    stop_at: float | None,
    grace_seconds: float,
) -> bool:
    """Whether a stop may cut a request that was passed on.

    It may if the server, or the caller by a pause of its own, was still at work in the last sixth
    of the grace and the request was sent early enough, or if the time limit had passed.
    """
    if request.ended_at - request.began_at >= request.limit:
        return True
    if stop_at is None or request.whole_at > stop_at + UNFINISHED_SECONDS:
        return False
    last_part_at = stop_at + grace_seconds * 5 / 6
    works = any(run.ended_at is None or run.ended_at >= last_part_at for run in runs)
    return works or request.paused_until >= last_part_at


def _find_versions(facts: Facts, request: histories.Request) -> set[int]:
    """Return the versions by which a request may be handled."""
    changes = facts.history.changes
    is_in_touch = facts.is_in_touch(request.entry, request.began_at, request.ended_at)
    oldest = max(
        (
            change.version
            for change in changes
            if change.acknowledged_at is not None
            and is_in_touch
            and change.acknowledged_at + APPLY_SECONDS < request.began_at
        ),
        default=0,
    )
    return {
        change.version
        for change in changes
        if change.version >= oldest and change.sent_at <= request.ended_at
    }


def _check_routes(facts: Facts) -> Iterator[Violation]:
    """Promise 8: an acknowledged declaration is in force soon, and never reverts.

    The route of version N is in the declarations N and N + 1 only.
    """
    seen: dict[int, list[tuple[float, int]]] = collections.defaultdict(list)
    for request in sorted(facts.history.requests, key=lambda item: item.began_at):
        if request.ended_at is None or request.status == 0:
            continue
        if not request.version:
            if request.status in DENIED_STATUSES:
                text = f"status {request.status} for a proper request"
                yield Violation("8 declaration", request.id, text)
            continue
        allowed = _find_versions(facts, request)
        having = {request.version, request.version + 1}
        has_run = request.id in facts.runs
        if has_run and not allowed & having:
            text = f"run by the dropped route of version {request.version}"
            yield Violation("8 declaration", request.id, text)
        if request.status == 404 and allowed and not allowed - having:
            text = f"route of version {request.version} denied, in force: {sorted(allowed)}"
            yield Violation("8 declaration", request.id, text)
        yield from _check_reverts(facts, request, has_run, seen)


def _check_reverts(
    facts: Facts,
    request: histories.Request,
    has_run: bool,
    seen: dict[int, list[tuple[float, int]]],
) -> Iterator[Violation]:
    """Check that a process obeys no older version than it has shown to obey before."""
    life = facts.find_life(request.entry, request.began_at)
    if life is None or facts.is_replaced(request.entry, request.began_at, request.ended_at):
        return
    shown = max(
        (
            version
            for at, version in seen[life.process_id]
            if at + ROLLBACK_SECONDS < request.began_at
        ),
        default=0,
    )
    if has_run:
        seen[life.process_id].append((request.ended_at, request.version))
        if request.version + 1 < shown:
            text = f"version {request.version} obeyed after version {shown}"
            yield Violation("8 declaration", request.id, text)
    elif request.status == 404 and shown == request.version:
        newest = max(c.version for c in facts.history.changes if c.sent_at <= request.ended_at)
        if newest <= request.version + 1:
            text = f"version {request.version} not obeyed any more"
            yield Violation("8 declaration", request.id, text)


def _check_reads(facts: Facts) -> Iterator[Violation]:
    """Promise 8: what was acknowledged is read back."""
    changes = facts.history.changes
    for read in facts.history.reads:
        if read.version is None:
            continue
        newest = max(
            (
                change.version
                for change in changes
                if change.acknowledged_at is not None
                and change.acknowledged_at + APPLY_SECONDS < read.sent_at
            ),
            default=0,
        )
        if read.version < newest or not read.is_unchanged:
            text = f"read version {read.version} at {read.sent_at:.2f}, acknowledged: {newest}"
            yield Violation("8 declaration", read.host, text)
    if facts.history.calm_at and any(item.acknowledged_at for item in changes):
        final = [read for read in facts.history.reads if read.sent_at > facts.history.calm_at]
        if not any(read.version is not None for read in final):
            yield Violation("8 declaration", "operator", "no declaration was read back at the end")
    for change in changes:
        if change.acknowledged_at is None:
            text = f"version {change.version} was never acknowledged"
            yield Violation("8 declaration", "operator", text)


def _check_processes(facts: Facts) -> Iterator[Violation]:
    """No process ends by itself or by a signal that doesn't stop it, nor outlives its grace."""
    for life in facts.history.lives:
        subject = f"{life.host}, process {life.process_id}"
        names = {name for _, name in life.signals}
        stop_at = min((at for at, name in life.signals if name in _STOP_SIGNALS), default=None)
        signals = ", ".join(f"{name} at {at - life.started_at:.3f}" for at, name in life.signals)
        seconds = "" if life.ended_at is None else f" after {life.ended_at - life.started_at:.3f} s"
        if life.status is None:
            if stop_at is not None:
                yield Violation("process", subject, f"outlived its stop; signals: {signals}")
        elif "SIGKILL" in names:
            if stop_at is not None and life.role == "entry":
                yield Violation("process", subject, "killed at the end of its grace")
        elif stop_at is None or life.status != 0:
            text = f"ended by itself with {life.status}{seconds}; signals: {signals or 'none'}"
            yield Violation("process", subject, text)


def _check_resources(facts: Facts) -> Iterator[Violation]:
    """Memory, descriptors and threads of each process level off."""
    for life in facts.history.lives:
        if len(life.samples) < MIN_SAMPLE_COUNT:
            continue
        quarter = len(life.samples) // 4
        before = [min(values) for values in zip(*life.samples[quarter : 2 * quarter], strict=True)]
        after = [min(values) for values in zip(*life.samples[-quarter:], strict=True)]
        limits = (("KiB", MAX_NEW_KIB), ("descriptors", MAX_NEW_DESCRIPTORS))
        for index, (name, limit) in enumerate((*limits, ("threads", MAX_NEW_THREADS)), 1):
            if after[index] > before[index] + limit:
                text = f"{before[index]} {name} grew to {after[index]}"
                yield Violation("resources", f"{life.host}, process {life.process_id}", text)


def _check_errors(facts: Facts) -> Iterator[Violation]:
    """No request fails by an unexpected error of its entry; servers answer none with 500."""
    for request in facts.history.requests:
        if request.status == 500:
            yield Violation("process", request.id, f"failed by an error of {request.entry}")


def _check_recovery(facts: Facts) -> Iterator[Violation]:
    """Once nothing is disrupted any more, requests are served as before."""
    calm = [
        request
        for request in facts.history.requests
        if request.began_at > facts.history.calm_at + CONTACT_SECONDS and not request.version
    ]
    served = [request for request in calm if request.status == 200 and request.end == "answered"]
    if facts.history.calm_at and len(served) < MIN_SERVED_RATIO * len(calm):
        yield Violation(
            "recovery", "callers", f"{len(served)} of {len(calm)} were served at the end"
        )


def _check_stalls(facts: Facts) -> Iterator[Violation]:
    """Check that callers and servers have seen enough of the run."""
    seconds = sum(end - begin for begin, end in facts.history.stalls)
    if seconds > MAX_STALLED_RATIO * facts.history.ended_at:
        yield Violation("soak", "callers", f"stood still for {seconds:.1f} s: run fewer at once")
