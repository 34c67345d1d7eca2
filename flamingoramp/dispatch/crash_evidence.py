"""Evidence of which contents crash backend servers, and the contents that are refused for it.

A request has several fingerprints: that of its whole content, and that of each part of its prompt
that other requests may have too. When a server ends, each request that it had at that moment may be
the cause, and so may each of their parts. What is sound comes to be in complete answers as well,
which ends the suspicion; a crashing content never does.

Ends that overlap, where a request was sent before the previous end, make up a round. Of the ends
that a fingerprint was part of, those are left out that another fingerprint explains, one that the
request doesn't have and that was part of as many of them or more. So what runs beside a crashing
content, on the same servers, isn't refused with it. Of the rounds of the others

- one counts as one, since servers that fail together have the same parts of prompts;
- one of a whole content counts as many as its servers, if no other server ended meanwhile: copies
  of a crashing request that were sent at the same time;
- one counts as nothing if many servers of the service ended meanwhile that did not have the
  content: they have a common cause.

Crashing contents that come at the same time explain each other's ends. So a whole content that had
no complete answer yet is refused after a few more rounds, explained or not; then an end that has
another content of several rounds is no sign of a common cause.

All entries exchange their evidence through the control hosts.
"""

from __future__ import annotations

import bisect
import collections
import hashlib
import itertools
from collections.abc import Callable, Iterable, Iterator, Set

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import messages

# Independent unexplained ends after which a content is refused: one without any complete answer so
# far, and one that has had some before.
QUARANTINE_END_COUNT = 3
QUARANTINE_END_COUNT_AFTER_ANSWERS = 5
# Rounds after which a whole content without any complete answer is refused, explained or not.
UNANSWERED_ROUND_COUNT = 5
END_RETENTION_SECONDS = 3600.0
# A content that is refused has no answers that could clear it. So one request with it is sent this
# long after its last end, and another one after a wait that is longer by the factor.
TRIAL_WAIT_SECONDS = 10.0
TRIAL_WAIT_FACTOR = 10.0
# A request that was sent so long after the last end of a refused content was a trial; reports of
# other entries' ends are late by some seconds at most.
MIN_TRIAL_GAP_SECONDS = 0.5 * TRIAL_WAIT_SECONDS
MAX_FINGERPRINTS = 4096
# Per fingerprint; the latest are kept.
MAX_ENDS = 256
# Ends of one fingerprint that an entry reports again with a new one.
MAX_REPEATED_ENDS = 8
# Servers that end within this time of a round may have a common cause with it, if at least this
# share of the servers of their service, and more than this number without the content, did so.
COMMON_CAUSE_SECONDS = 0.5
COMMON_CAUSE_RATIO = 0.35
MIN_COMMON_CAUSE_ENDS = 2
MAX_KNOWN_RUNS = 4096
# Rounds that begin within this time count at most as one request and its retry: while servers end
# one after the other for another cause, a request is sent on from one to the next.
MOMENT_SECONDS = 0.1
MAX_ROUNDS_PER_MOMENT = 2
PART_PREFIX = "part-"
# Two times of one report that were equal at the sender differ by less than this at the receiver.
ROUNDING_SECONDS = 0.001

# A server's name and start.
ServerRun = tuple[str, int]


def content_fingerprint(key: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a whole request, which is equal when it is sent again."""
    digest = hashlib.blake2b(body, digest_size=12)
    digest.update(key.encode())
    digest.update(path.encode())
    return digest.hexdigest()


def part_fingerprint(part_id: str) -> str:
    """Return the fingerprint of a part of a prompt."""
    return PART_PREFIX + hashlib.blake2b(part_id.encode(), digest_size=12).hexdigest()


@attrs.frozen(eq=False, repr=False)
class ServerEnd(value_classes.Value):
    """End of a server while it had a request; times are monotonic seconds.

    Parameters
    ----------
    sent_at, ended_at : float
        Times of the sending of the request and of the end.
    is_confirmed : bool
        Whether the server is known to have ended; else it has only broken the connection.
    is_own : bool
        Whether this entry saw the end. The times of others' ends are late by what their reports
        took; the earliest report of an end is the most exact.
    """

    sent_at: float
    ended_at: float
    is_confirmed: bool = True
    is_own: bool = False


def split_rounds(ends: Iterable[ServerEnd]) -> list[list[ServerEnd]]:
    """Split ends into rounds; the first request of each was sent after the first end of the last.

    No larger number of ends could be chosen of which each request was sent after the previous end.
    """
    rounds: list[list[ServerEnd]] = []
    for end in sorted(ends, key=lambda end: end.ended_at):
        if not rounds or end.sent_at >= rounds[-1][0].ended_at - ROUNDING_SECONDS:
            rounds.append([])
        rounds[-1].append(end)
    return rounds


class CrashEvidence:
    """Ends of servers by the fingerprints of the requests that they had, at all entries.

    Parameters
    ----------
    count_servers : callable
        Takes the name of a server and returns the number of servers of its service, 0 if it isn't
        known.
    """

    def __init__(self, count_servers: Callable[[str], int] = lambda _server: 0):
        self._count_servers = count_servers
        # Times of all ends, also of servers whose requests were answered by others since.
        self._ended_at: collections.OrderedDict[ServerRun, float] = collections.OrderedDict()
        self._end_times = _SortedTimes(self._ended_at.values)
        # Those of ends without a whole content that was in ends of several rounds.
        self._other_end_times = _SortedTimes(self._find_other_end_times)
        self._ends: dict[str, dict[ServerRun, ServerEnd]] = {}
        # In the order in which they were added.
        self._suspects_by_run: dict[ServerRun, dict[str, None]] = {}
        # Suspects by run, those with the most ends first; made when they are needed.
        self._ranked_suspects: dict[ServerRun, list[str]] = {}
        self._answered_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        # Fingerprints with new ends, or whose ends were cleared, at this entry.
        self._new_ends: list[tuple[str, ServerRun]] = []
        self._new_clearances: dict[str, float] = {}
        # Number and time of the last trials of refused fingerprints.
        self._trials: dict[str, tuple[int, float]] = {}

    @property
    def has_news(self) -> bool:
        """Whether this entry has evidence that it has not reported yet."""
        return bool(self._new_ends or self._new_clearances)

    @property
    def suspect_count(self) -> int:
        """Number of fingerprints with ends."""
        return len(self._ends)

    def end_count(self, fingerprint: str) -> int:
        """Return the number of ends that a fingerprint was part of."""
        return len(self._ends.get(fingerprint, ()))

    def record_break(
        self, run: ServerRun, fingerprints: tuple[str, ...], *, sent_at: float, now: float
    ) -> None:
        """Record that a server broke off a request; whether it has ended isn't known yet."""
        for fingerprint in fingerprints:
            end = ServerEnd(sent_at, now, is_confirmed=False, is_own=True)
            self._add(fingerprint, run, end)

    def confirm(self, run: ServerRun) -> None:
        """Record that a server that broke off requests has ended."""
        for fingerprint in self._suspects_by_run.get(run, ()):
            ends = self._ends[fingerprint]
            end = ends[run]
            if not end.is_confirmed:
                ends[run] = attrs.evolve(end, is_confirmed=True)
                self._new_ends.append((fingerprint, run))

    def withdraw(self, run: ServerRun) -> None:
        """Remove the breaks of a server that has not ended."""
        if self._ended_at.pop(run, None) is not None:
            self._clear_indexes()
        for fingerprint in list(self._suspects_by_run.get(run, ())):
            if not self._ends[fingerprint][run].is_confirmed:
                self._remove_ends(fingerprint, [run])

    def record_answer(self, fingerprints: tuple[str, ...], now: float) -> list[str]:
        """Record a complete answer, which clears its fingerprints; return those with ends."""
        cleared = []
        for fingerprint in fingerprints:
            self._set_answered(fingerprint, now)
            if fingerprint in self._ends:
                self._remove_ends(fingerprint, list(self._ends[fingerprint]))
                self._new_clearances[fingerprint] = now
                cleared.append(fingerprint)
        return cleared

    def apply_records(self, records: Iterable[messages.CrashRecord], now: float) -> None:
        """Apply the evidence of other entries."""
        for record in records:
            recorded_at = now - record.age
            fingerprint = record.fingerprint
            if record.is_clearance:
                self._apply_clearance(fingerprint, recorded_at)
            elif recorded_at <= self._answered_at.get(fingerprint, float("-inf")):
                # The others don't know of the answer that this entry has had since.
                self._new_clearances[fingerprint] = self._answered_at[fingerprint]
            else:
                end = ServerEnd(recorded_at - record.seconds, recorded_at)
                self._add(fingerprint, (record.server, record.born), end)

    def drain_records(self, now: float) -> tuple[messages.CrashRecord, ...]:
        """Return the evidence of this entry that it has not reported yet.

        With a new end go the earlier ones of the same fingerprint: reports take different times,
        and only within one report is it certain which end came first.
        """
        records = [
            messages.CrashRecord(fingerprint, age=now - cleared_at, is_clearance=True)
            for fingerprint, cleared_at in self._new_clearances.items()
        ]
        new_runs_by_fingerprint: dict[str, set[ServerRun]] = {}
        for fingerprint, run in self._new_ends:
            new_runs_by_fingerprint.setdefault(fingerprint, set()).add(run)
        for fingerprint, new_runs in new_runs_by_fingerprint.items():
            own_ends = [
                (run, end)
                for run, end in self._ends.get(fingerprint, {}).items()
                if end.is_own and end.is_confirmed
            ]
            records.extend(
                _to_record(fingerprint, run, end, now)
                for number, (run, end) in enumerate(reversed(own_ends))
                if number < MAX_REPEATED_ENDS or run in new_runs
            )
        self._new_ends.clear()
        self._new_clearances.clear()
        return tuple(records)

    def list_records(self, now: float) -> tuple[messages.CrashRecord, ...]:
        """Return the ends of contents that may be refused, for a host that may have lost them."""
        return tuple(
            _to_record(fingerprint, run, end, now)
            for fingerprint, ends in self._ends.items()
            if len(ends) >= QUARANTINE_END_COUNT
            for run, end in ends.items()
            if end.is_confirmed
        )

    def find_quarantined(
        self, fingerprints: tuple[str, ...], *, with_unconfirmed: bool = False
    ) -> str:
        """Return the fingerprint for which a request is to be refused; empty for none.

        Parameters
        ----------
        fingerprints : tuple of str
            All fingerprints of the request.
        with_unconfirmed : bool
            Whether a broken connection counts as the end of its server.
        """
        explanations = _Explanations(self, frozenset(fingerprints))
        for fingerprint in fingerprints:
            ends = {
                run: end
                for run, end in self._ends.get(fingerprint, {}).items()
                if with_unconfirmed or end.is_confirmed
            }
            limit = QUARANTINE_END_COUNT
            if fingerprint in self._answered_at:
                limit = QUARANTINE_END_COUNT_AFTER_ANSWERS
            if len(ends) < limit:
                continue
            is_content = fingerprint == fingerprints[0]
            if is_content and self._ends_all_servers(fingerprint, ends):
                return fingerprint
            explanations.remove_explained(fingerprint, ends, is_content=is_content)
            count = self._count_accusing(fingerprint, ends, self._end_times, is_content=is_content)
            if count >= limit:
                return fingerprint
        return ""

    def _ends_all_servers(self, content: str, ends: dict[ServerRun, ServerEnd]) -> bool:
        """Return whether a content without an answer was in enough rounds, explained or not."""
        if content in self._answered_at or not _has_rounds(ends, UNANSWERED_ROUND_COUNT):
            return False
        count = self._count_accusing(content, ends, self._other_end_times, is_content=True)
        return count >= UNANSWERED_ROUND_COUNT

    def _find_other_end_times(self) -> Iterable[float]:
        """Return the times of the ends without a whole content of several rounds."""
        repeated = (
            ends
            for content, ends in self._ends.items()
            if not content.startswith(PART_PREFIX) and _has_rounds(ends, QUARANTINE_END_COUNT)
        )
        explained = {run for ends in repeated for run in ends}
        return (at for run, at in self._ended_at.items() if run not in explained)

    def _count_accusing(
        self,
        fingerprint: str,
        ends: dict[ServerRun, ServerEnd],
        times: _SortedTimes,
        *,
        is_content: bool,
    ) -> int:
        """Return the number of ends that count against a fingerprint.

        ``times`` are those of the ends that may have a common cause.
        """
        if not ends:
            return 0
        server_count = self._count_servers(next(reversed(ends))[0])
        known_times: list[float] = []
        if times is self._end_times:  # the others don't contain the fingerprint's own
            known_times = [
                self._ended_at[run] for run in self._ends[fingerprint] if run in self._ended_at
            ]
        count = moment_count = 0
        moment_began_at = float("-inf")
        for ends_of_round in split_rounds(ends.values()):
            begin = ends_of_round[0].ended_at - COMMON_CAUSE_SECONDS
            end = ends_of_round[-1].ended_at + COMMON_CAUSE_SECONDS
            known_count = sum(begin <= at <= end for at in known_times)
            other_count = times.count_between(begin, end) - known_count
            ended_count = other_count + len(ends_of_round)
            if (
                other_count > max(MIN_COMMON_CAUSE_ENDS, len(ends_of_round))
                and 0 < COMMON_CAUSE_RATIO * server_count <= ended_count
            ):
                continue
            if is_content and not other_count:
                count += len(ends_of_round)
                continue
            if ends_of_round[0].ended_at > moment_began_at + MOMENT_SECONDS:
                moment_began_at = ends_of_round[0].ended_at
                moment_count = 0
            moment_count += 1
            count += moment_count <= MAX_ROUNDS_PER_MOMENT
        return count

    def try_again(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is to be sent, though its fingerprint is refused.

        Trials that ended a server count whichever entry sent them, also before its last start.
        """
        own_count, tried_at = self._trials.get(fingerprint, (0, float("-inf")))
        trial_count = max(own_count, self._count_failed_trials(fingerprint))
        last_end = max(end.ended_at for end in self._ends[fingerprint].values())
        wait = TRIAL_WAIT_SECONDS * TRIAL_WAIT_FACTOR**trial_count
        if now - max(last_end, tried_at) < wait:
            return False
        self._trials[fingerprint] = (trial_count + 1, now)
        return True

    def _count_failed_trials(self, fingerprint: str) -> int:
        """Return the number of ends by requests that were sent long after the content's refusal."""
        ends = sorted(self._ends[fingerprint].values(), key=lambda end: end.ended_at)
        return sum(
            end.sent_at >= previous.ended_at + MIN_TRIAL_GAP_SECONDS
            for previous, end in itertools.pairwise(ends[QUARANTINE_END_COUNT - 1 :])
        )

    def rank_suspects(self, run: ServerRun) -> list[str]:
        """Return the fingerprints that were part of a server's end, those with most ends first."""
        ranked = self._ranked_suspects.get(run)
        if ranked is None:
            suspects = self._suspects_by_run.get(run, ())
            ranked = sorted(suspects, key=lambda suspect: -len(self._ends[suspect]))
            self._ranked_suspects[run] = ranked
        return ranked

    def evict_expired(self, now: float) -> None:
        """Forget ends after their retention, and the least suspect of too many fingerprints."""
        for fingerprint, ends in list(self._ends.items()):
            self._retain_ends(fingerprint, ends, ended_after=now - END_RETENTION_SECONDS)
        for run, ended_at in list(self._ended_at.items()):
            if ended_at <= now - END_RETENTION_SECONDS:
                del self._ended_at[run]
                self._clear_indexes()
        excess = len(self._ends) - MAX_FINGERPRINTS
        if excess > 0:
            # Of two with as many ends, a whole content is kept: one prompt has very many parts.
            least_suspect = sorted(
                self._ends,
                key=lambda name: (len(self._ends[name]), not name.startswith(PART_PREFIX)),
            )
            for fingerprint in least_suspect[:excess]:
                self._remove_ends(fingerprint, list(self._ends[fingerprint]))
        self._trials = {
            fingerprint: trial
            for fingerprint, trial in self._trials.items()
            if fingerprint in self._ends
        }

    def _add(self, fingerprint: str, run: ServerRun, end: ServerEnd) -> None:
        ends = self._ends.setdefault(fingerprint, {})
        known = ends.get(run)
        if known is None or _replaces(end, known):
            ends[run] = end
            self._suspects_by_run.setdefault(run, {})[fingerprint] = None
            self._clear_indexes()
            self._note_end(run, end.ended_at)
        if len(ends) > MAX_ENDS:
            self._remove_ends(fingerprint, [min(ends, key=lambda run: ends[run].ended_at)])

    def _note_end(self, run: ServerRun, ended_at: float) -> None:
        """Note the earliest known time of a server's end."""
        known = self._ended_at.get(run)
        if known is not None and known <= ended_at:
            return
        self._ended_at[run] = ended_at
        if len(self._ended_at) > MAX_KNOWN_RUNS:
            self._ended_at.popitem(last=False)
        self._clear_indexes()

    def _clear_indexes(self) -> None:
        """Make what is derived from the ends anew when it is needed."""
        self._ranked_suspects.clear()
        self._end_times.clear()
        self._other_end_times.clear()

    def _remove_ends(self, fingerprint: str, runs: Iterable[ServerRun]) -> None:
        """Remove ends of a fingerprint; without any it is no suspect."""
        ends = self._ends[fingerprint]
        for run in runs:
            del ends[run]
            suspects = self._suspects_by_run[run]
            del suspects[fingerprint]
            if not suspects:
                del self._suspects_by_run[run]
        if not ends:
            del self._ends[fingerprint]
        self._clear_indexes()

    def _apply_clearance(self, fingerprint: str, cleared_at: float) -> None:
        if cleared_at > self._answered_at.get(fingerprint, float("-inf")):
            self._set_answered(fingerprint, cleared_at)
        ends = self._ends.get(fingerprint)
        if ends is not None:
            self._retain_ends(fingerprint, ends, ended_after=cleared_at)

    def _retain_ends(
        self, fingerprint: str, ends: dict[ServerRun, ServerEnd], *, ended_after: float
    ) -> None:
        self._remove_ends(
            fingerprint, [run for run, end in ends.items() if end.ended_at <= ended_after]
        )

    def _set_answered(self, fingerprint: str, answered_at: float) -> None:
        self._answered_at[fingerprint] = answered_at
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_FINGERPRINTS:
            self._answered_at.popitem(last=False)


class _SortedTimes:
    """Times of servers' ends in their order, found and sorted when they are needed."""

    def __init__(self, find_times: Callable[[], Iterable[float]]):
        self._find_times = find_times
        self._times: list[float] | None = None

    def clear(self) -> None:
        """Sort again, since the times have changed."""
        self._times = None

    def count_between(self, begin: float, end: float) -> int:
        """Return the number of times from ``begin`` to ``end``."""
        if self._times is None:
            self._times = sorted(self._find_times())
        return bisect.bisect_right(self._times, end) - bisect.bisect_left(self._times, begin)


class _Explanations:
    """Which ends of servers the fingerprints explain that one request doesn't have.

    Each end is looked at once, however many of the request's fingerprints were part of it.

    Parameters
    ----------
    evidence : CrashEvidence
    own : frozenset of str
        The fingerprints of the request.
    """

    def __init__(self, evidence: CrashEvidence, own: Set[str]):
        self._evidence = evidence
        self._own = own
        # Of the other fingerprint with the most ends.
        self._largest_counts: dict[ServerRun, int] = {}

    def remove_explained(
        self, fingerprint: str, ends: dict[ServerRun, ServerEnd], *, is_content: bool
    ) -> None:
        """Remove the ends that others than the request's own fingerprints explain as well.

        Of two whole contents with as many ends, the first one by name explains those of the other.
        Once it is refused, the other one has more ends, or an answer.
        """
        count = len(ends)
        for run in list(ends):
            largest_count = self._find_largest_count(run)
            if largest_count > count or (
                largest_count == count
                and (not is_content or self._explains_content(run, fingerprint, count))
            ):
                del ends[run]

    def _find_largest_count(self, run: ServerRun) -> int:
        largest_count = self._largest_counts.get(run)
        if largest_count is None:
            other = next(self._others(run), None)
            largest_count = self._evidence.end_count(other) if other is not None else 0
            self._largest_counts[run] = largest_count
        return largest_count

    def _explains_content(self, run: ServerRun, content: str, count: int) -> bool:
        """Return whether one of the others with as many ends explains that of a whole content."""
        as_many = itertools.takewhile(
            lambda other: self._evidence.end_count(other) == count, self._others(run)
        )
        return any(other.startswith(PART_PREFIX) or other < content for other in as_many)

    def _others(self, run: ServerRun) -> Iterator[str]:
        ranked = self._evidence.rank_suspects(run)
        return (suspect for suspect in ranked if suspect not in self._own)


def _has_rounds(ends: dict[ServerRun, ServerEnd], count: int) -> bool:
    return len(ends) >= count and len(split_rounds(ends.values())) >= count


def _replaces(end: ServerEnd, known: ServerEnd) -> bool:
    """Return whether an end is to replace the one that is known of the same server run."""
    if end.is_confirmed and not known.is_confirmed:
        return True
    are_reported = not (end.is_own or known.is_own)
    return are_reported and end.ended_at < known.ended_at


def _to_record(
    fingerprint: str, run: ServerRun, end: ServerEnd, now: float
) -> messages.CrashRecord:
    server, born = run
    return messages.CrashRecord(
        fingerprint, server, born, age=now - end.ended_at, seconds=end.ended_at - end.sent_at
    )
