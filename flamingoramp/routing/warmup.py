"""Warm-up of backend servers: until when each is cold, and the requests that a cold one tolerates.

A server is cold for a while after a start during traffic, and may become cold again at any moment.
A cold server tolerates a rate of requests from all entries together. How many were sent is counted
in `statements`.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable

import attrs

from flamingoramp.protocol import messages

# Share of the tolerated rate for which requests are offered to a cold server, and requests per
# second in addition. The mean is kept without any reports of the other entries.
OFFERED_RATE_RATIO = 0.85
OFFERED_EXTRA_REQUESTS = 0.3
# Standard deviations of the requests in a second between the offered ones and those allowed.
OFFERED_RATE_DEVIATIONS = 3.0
# Share of the requests allowed beyond the rate that may be sent at once. The rest is for requests
# of which reports are on their way.
BURST_RATIO = 0.5
MIN_BURST_REQUESTS = 1.0
# Servers count as cold for this long after the time that they told. Control hosts don't pass on
# smaller changes of the end (`registry.COLD_END_TOLERANCE_SECONDS`).
COLD_MARGIN_SECONDS = 0.25
# A shorter cold time than this left is not worth a change of what is known.
MIN_COLD_SECONDS = 0.001


@attrs.frozen
class WarmUpLimit:
    """Requests that a cold server tolerates from all entries together.

    Parameters
    ----------
    rate : float
        Requests per second; above 0.
    excess_ratio, excess_requests : float
        In any second it may get ``excess_ratio`` times the rate and ``excess_requests`` requests.
    """

    rate: float
    excess_ratio: float = 1.5
    excess_requests: float = 5.0

    @property
    def allowed_requests(self) -> float:
        """Requests that the server may get in any second."""
        return self.excess_ratio * self.rate + self.excess_requests

    @property
    def drain_rate(self) -> float:
        """Requests per second that may be sent for long."""
        return min(self.rate, self.allowed_requests)

    @property
    def burst(self) -> float:
        """Requests that may be sent at once."""
        return max(MIN_BURST_REQUESTS, BURST_RATIO * (self.allowed_requests - self.drain_rate))

    @property
    def offered_rate(self) -> float:
        """Mean requests per second that all entries together offer to the server.

        Requests that are offered independently of each other vary around their mean; it is chosen
        so that `allowed_requests` are hardly ever exceeded, whether or not they are counted.
        """
        spread = OFFERED_RATE_DEVIATIONS
        root = (math.sqrt(spread * spread + 4 * self.allowed_requests) - spread) / 2
        return min(OFFERED_RATE_RATIO * self.rate + OFFERED_EXTRA_REQUESTS, root * root)


class Source(enum.Enum):
    """How this entry knows that a server is cold."""

    ANNOUNCEMENT = "announcement"
    HEALTH_CHECK = "health_check"
    ASSUMPTION = "assumption"


@attrs.frozen
class WarmUpChange:
    """A change of what is known of a server's warm-up.

    Parameters
    ----------
    server : str
    born : int
        Start of the server, as it announces it.
    seconds : float
        Time for which the server is still cold; 0 if it is not.
    source : Source
    """

    server: str
    born: int
    seconds: float
    source: Source


@attrs.define
class _Run:
    """Times until which one run of a server is cold, by the source, and when it was told."""

    born: int
    cold_until: dict[Source, float] = attrs.field(factory=dict)
    told_at: dict[Source, float] = attrs.field(factory=dict)

    @property
    def until(self) -> float:
        """Time until which the server is cold by any source."""
        return max(self.cold_until.values(), default=-math.inf)


class WarmUps:
    """Until when servers are cold; times are monotonic seconds.

    All that is known holds for one run of a server. A time that was told by a health check holds
    beside those of announcements, since an announcement may be sent before and arrive after it.
    """

    def __init__(self):
        self._runs: dict[str, _Run] = {}
        self._changes: list[WarmUpChange] = []

    def cold_until(self, record: messages.ServerRecord) -> float:
        """Return the time until which a server is cold; minus infinity if it never was."""
        run = self._runs.get(record.server)
        return run.until if run is not None and run.born == record.born else -math.inf

    def is_cold(self, record: messages.ServerRecord, now: float) -> bool:
        """Return whether a server is cold."""
        return self.cold_until(record) > now

    def record_announcement(self, record: messages.ServerRecord, now: float) -> None:
        """Record the remaining cold time of an announcement, counted from its age."""
        self._record(record, Source.ANNOUNCEMENT, record.cold_seconds, now - record.age, now)

    def record_health_answer(
        self, record: messages.ServerRecord, seconds: float, now: float
    ) -> None:
        """Record the remaining cold time in the answer of a server to a health check."""
        self._record(record, Source.HEALTH_CHECK, seconds, now, now)

    def assume_cold(
        self, records: Iterable[messages.ServerRecord], seconds: float, now: float
    ) -> None:
        """Take servers for cold until what they tell from now on says otherwise.

        Parameters
        ----------
        records : iterable of ServerRecord
            Servers that get requests again after none were sent there, as those of a zone.
        seconds : float
            Longest time for which this holds: that for which servers are cold after a start.
        now : float
        """
        if seconds > 0:
            for record in records:
                self._record(record, Source.ASSUMPTION, seconds, now, now)

    def drain_changes(self) -> list[WarmUpChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def retain_only(self, records: Iterable[messages.ServerRecord]) -> None:
        """Remove all other servers, and earlier runs of these."""
        born_by_server = {record.server: record.born for record in records}
        for server, run in list(self._runs.items()):
            if born_by_server.get(server) != run.born:
                del self._runs[server]

    def _record(
        self,
        record: messages.ServerRecord,
        source: Source,
        seconds: float,
        told_at: float,
        now: float,
    ) -> None:
        run = self._runs.get(record.server)
        if run is not None and record.born < run.born:
            return
        if run is None or record.born > run.born:
            run = self._runs[record.server] = _Run(record.born)
        if told_at < run.told_at.get(source, -math.inf):
            return
        was_cold = run.until > now + MIN_COLD_SECONDS
        run.told_at[source] = told_at
        cold_until = told_at + seconds + COLD_MARGIN_SECONDS
        run.cold_until[source] = cold_until if seconds > 0 else -math.inf
        if source is not Source.ASSUMPTION and told_at > run.told_at.get(
            Source.ASSUMPTION, math.inf
        ):
            run.cold_until.pop(Source.ASSUMPTION, None)
        is_cold = run.until > now + MIN_COLD_SECONDS
        if was_cold != is_cold:
            cold_seconds = run.until - now if is_cold else 0.0
            self._changes.append(WarmUpChange(record.server, record.born, cold_seconds, source))
