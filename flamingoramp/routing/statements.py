"""What backend servers state of themselves in their answers, and how far it was used up.

A server may name a limit: the requests per second that it takes from all entries together. Each
entry counts its own requests to such a server and those that other entries report, in one leaky
bucket that drains at the limit, and sends while the bucket has room. The rate that a cold server
tolerates is a limit of the same kind; the strictest of both holds.

A report takes a while to arrive. Requests of other entries in the meantime aren't counted yet, so
of all requests for a service only a share is offered a server with a limit.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import load_reports, messages
from flamingoramp.routing import warmup

# Requests that a limit allows at once: those of this time, and within these bounds.
BURST_SECONDS = 0.5
MIN_BURST_REQUESTS = 1.0
MAX_BURST_REQUESTS_OF_LOW_LIMIT = 2.0
BURST_SECONDS_OF_LOW_LIMIT = 4.0
# A lower limit counts as this one, so that a request from time to time finds out whether it holds.
MIN_LIMIT = 0.1
# A server that refuses requests without need, or that has named a time to come back which is over,
# gets this many requests per second from all entries together until it accepts one.
TRIAL_LIMIT = 0.25
# A longer time to come back is taken for an error.
MAX_CLOSED_SECONDS = 300.0
# An entry alone may use this many times its share of a cold server's limit.
MAX_ENTRY_SHARE_RATIO = 2.0
# Requests that all entries together may send to a server, beyond its limit, before they know of
# each other's: a fixed part, and a part that grows with the limit.
UNREPORTED_REQUESTS = 0.3
UNREPORTED_SECONDS = 0.5
# An ended limit is reported for this long, so that all entries learn of the end.
ENDED_LIMIT_REPORT_SECONDS = 5.0
# Reports of changes that contain each change, since one may get lost.
REPORTS_PER_CHANGE = 2
# In reports, for a server that names no limit.
NO_LIMIT = -1.0
# In reports, the age of the answer of a server that hasn't answered; any other answer is later.
NO_ANSWER_AGE_SECONDS = 1e9


@attrs.frozen(eq=False, repr=False)
class ServerStatement(value_classes.Value):
    """What one answer states of the server that sent it.

    Parameters
    ----------
    limit : float or None
        Requests per second that the server takes from all entries together; infinite if the answer
        names no limit, None if it names one that can't be read.
    leaving : bool
        Whether the server says that it is leaving. It says so in all further answers of its run.
    closed_seconds : float
        Time for which the server takes no requests from now on; 0 if the answer names none.
    is_refusal : bool
        Whether the answer turns the request away.
    starts_trial : bool
        Whether the server is to get only a few requests until it accepts one: it refused a request
        though it had room, as far as its load is known.
    """

    limit: float | None = math.inf
    leaving: bool = False
    closed_seconds: float = 0.0
    is_refusal: bool = False
    starts_trial: bool = False


@attrs.frozen(eq=False, repr=False)
class StatementChange(value_classes.Value):
    """A change of what is known of a server.

    Parameters
    ----------
    server : str
    born : int
        Start of the server, as it announces it.
    limit, previous_limit : float
        Requests per second; infinite for none.
    leaving : bool
        Whether the server says that it is leaving.
    closed_seconds : float
        Time for which the server takes no requests; 0 if it takes some.
    is_on_trial : bool
        Whether the server gets only a few requests until it accepts one.
    age_seconds : float
        Time since the server's answer.
    request : str
        Id of the request that was answered; empty if another entry reported the statement.
    reporter : str
        Entry that reported the statement; empty if this entry received the answer.
    """

    server: str
    born: int
    limit: float
    previous_limit: float
    leaving: bool = False
    closed_seconds: float = 0.0
    is_on_trial: bool = False
    age_seconds: float = 0.0
    request: str = ""
    reporter: str = ""


@attrs.define(eq=False, repr=False)
class _Known(value_classes.MutableValue):
    """The latest statement of one run of a server, and the requests sent since it was known.

    ``stated_at`` is the time of the latest answer that named the limit, or of the first that named
    none any more. ``sent_count`` are the requests of this entry, ``zone_sent_count`` those of all
    entries of its availability zone. ``level`` is that of the leaky bucket at ``level_at``, in
    requests. The server takes no requests until ``closed_until``, and only a few from then on while
    ``is_on_trial``. ``reports_left`` is the number of reports of changes that are to contain the
    server. ``warm_up`` is the limit of a cold server, which holds until ``cold_until``, and
    ``contact_share`` the part of it that the entries in contact with this one may use. Of that,
    this entry alone may use ``entry_share``; ``own_level`` is the level of its own requests.
    """

    born: int
    limit: float
    leaving: bool
    stated_at: float
    level_at: float
    closed_until: float = -math.inf
    is_on_trial: bool = False
    level: float = 0.0
    sent_count: int = 0
    zone_sent_count: int = 0
    reports_left: int = REPORTS_PER_CHANGE
    warm_up: warmup.WarmUpLimit | None = None
    cold_until: float = -math.inf
    contact_share: float = 1.0
    entry_share: float = 1.0
    own_level: float = 0.0

    @property
    def stated_limit(self) -> float:
        """Requests per second by the server's answers, once it is open."""
        return min(self.limit, TRIAL_LIMIT) if self.is_on_trial else self.limit

    @property
    def effective_limit(self) -> float:
        """Requests per second from all entries together, once the server is open."""
        if self.warm_up is None:
            return self.stated_limit
        return min(self.stated_limit, self.contact_share * self.warm_up.drain_rate)

    @property
    def says_nothing(self) -> bool:
        """Whether the server has not restricted its use."""
        return (
            self.limit == math.inf
            and not self.leaving
            and not self.is_on_trial
            and self.warm_up is None
        )

    @property
    def burst(self) -> float:
        """Level up to which the bucket is filled."""
        limit = self.stated_limit
        of_low_limit = min(MAX_BURST_REQUESTS_OF_LOW_LIMIT, BURST_SECONDS_OF_LOW_LIMIT * limit)
        of_limit = max(MIN_BURST_REQUESTS, of_low_limit, BURST_SECONDS * limit)
        if self.warm_up is None:
            return of_limit
        return min(of_limit, max(MIN_BURST_REQUESTS, self.contact_share * self.warm_up.burst))

    @property
    def drain_rate(self) -> float:
        """Requests per second by which the level of the bucket falls."""
        if self.warm_up is None:
            return max(MIN_LIMIT, self.effective_limit)
        cold_rate = self.contact_share * self.warm_up.drain_rate
        return min(max(MIN_LIMIT, self.stated_limit), cold_rate)

    @property
    def own_drain_rate(self) -> float:
        """Requests per second of this entry alone to a cold server."""
        return self.entry_share * self.warm_up.drain_rate

    @property
    def own_burst(self) -> float:
        """Level up to which this entry alone may send to a cold server."""
        return MIN_BURST_REQUESTS + self.entry_share * self.warm_up.burst

    def set_shares(self, contact_share: float, entry_share: float, now: float) -> None:
        """Set the parts of a cold server's limit; the levels keep their ratios to the bursts."""
        self.drain(now)
        if self.warm_up is None:
            return
        burst, own_burst = self.burst, self.own_burst
        self.contact_share, self.entry_share = contact_share, entry_share
        self.level *= self.burst / burst
        self.own_level *= self.own_burst / own_burst

    def count_sent(self, request_count: float, now: float) -> None:
        """Add requests to the bucket.

        Entries that try a server at the same moment don't know of each other: their trials count as
        one, so that a server which accepts requests again doesn't wait for the sum of them.
        """
        self.drain(now)
        self.level += request_count
        if self.is_on_trial and self.limit == math.inf:
            self.level = min(self.level, self.burst)

    def drain(self, now: float) -> None:
        """Update the level of the bucket, and end a warm-up that is over."""
        if self.effective_limit == math.inf:
            self.level = 0.0
        else:
            self.level = max(0.0, self.level - self.drain_rate * (now - self.level_at))
        if self.warm_up is not None:
            drained = self.own_drain_rate * (now - self.level_at)
            self.own_level = max(0.0, self.own_level - drained)
        self.level_at = now
        if now >= self.cold_until:
            self.warm_up = None


class ServerStatements:
    """Statements of all servers that have restricted their use; times are monotonic seconds.

    A statement holds for one run of a server: one that starts again has said nothing yet.
    """

    def __init__(self):
        self._known: dict[str, _Known] = {}
        self._contact_share = 1.0
        self._entry_share = 1.0
        self._changes: list[StatementChange] = []
        self._has_unreported_changes = False

    @property
    def has_unreported_changes(self) -> bool:
        """Whether there was a change since statements were last reported."""
        return self._has_unreported_changes

    @property
    def limited_count(self) -> int:
        """Number of servers that name a limit."""
        return sum(known.limit != math.inf for known in self._known.values())

    @property
    def closed_count(self) -> int:
        """Number of servers that refused a request and haven't accepted one since."""
        return sum(known.is_on_trial for known in self._known.values())

    @property
    def leaving_count(self) -> int:
        """Number of servers that say that they are leaving."""
        return sum(known.leaving for known in self._known.values())

    @property
    def cold_count(self) -> int:
        """Number of cold servers with a limit."""
        return sum(known.warm_up is not None for known in self._known.values())

    def __bool__(self) -> bool:
        return bool(self._known)

    def limit(self, server: messages.ServerRecord) -> float:
        """Return the limit to keep at a server, in requests per second; infinite if none."""
        known = self._find(server)
        return known.effective_limit if known is not None else math.inf

    def is_restricted(self, server: messages.ServerRecord, now: float) -> bool:
        """Return whether a server takes only a limited rate of requests."""
        known = self._find(server)
        if known is None:
            return False
        known.drain(now)
        return known.effective_limit != math.inf

    def is_leaving(self, server: messages.ServerRecord) -> bool:
        """Return whether a server says that it is leaving."""
        known = self._find(server)
        return known is not None and known.leaving

    def _find(self, server: messages.ServerRecord) -> _Known | None:
        """Return what is known of this run of a server, None if nothing is."""
        known = self._known.get(server.server)
        return known if known is not None and known.born == server.born else None

    def seconds_until_room(self, server: messages.ServerRecord, now: float) -> float:
        """Return the time until a server that isn't leaving takes a further request."""
        known = self._find(server)
        if known is None or known.effective_limit == math.inf:
            return 0.0
        known.drain(now)
        excess = max(0.0, known.level + 1 - known.burst)
        seconds = excess / known.drain_rate
        if known.warm_up is not None:
            own_excess = max(0.0, known.own_level + 1 - known.own_burst)
            seconds = max(seconds, own_excess / known.own_drain_rate)
            after_warm_up = excess / max(MIN_LIMIT, known.stated_limit)
            seconds = min(seconds, known.cold_until - now + after_warm_up)
        return max(known.closed_until - now, seconds)

    def cold_seconds(self, server: messages.ServerRecord, now: float) -> float:
        """Return the time for which a server still has the limit of a cold one; 0 if it has not."""
        known = self._find(server)
        if known is None or known.warm_up is None:
            return 0.0
        return max(0.0, known.cold_until - now)

    def offered_share(
        self,
        server: messages.ServerRecord,
        *,
        request_rate: float,
        report_delay_seconds: float,
        total_request_rate: float = 0.0,
    ) -> float:
        """Return the share of the requests for a service to which a server should be offered.

        Parameters
        ----------
        server : messages.ServerRecord
        request_rate : float
            Requests per second for the service at all entries.
        report_delay_seconds : float
            Time until an entry knows of the requests that another one has sent.
        total_request_rate : float
            Requests per second for the service, with an estimate for the entries out of contact;
            for cold servers.
        """
        known = self._find(server)
        if known is None:
            return 1.0
        share = 1.0
        limit = known.stated_limit
        unreported_requests = request_rate * report_delay_seconds
        if limit != math.inf and unreported_requests:
            allowed_requests = UNREPORTED_REQUESTS + UNREPORTED_SECONDS * limit
            share = min(share, allowed_requests / unreported_requests)
        if known.warm_up is not None and total_request_rate:
            share = min(share, known.warm_up.offered_rate / total_request_rate)
        return share

    def set_contact(self, in_contact: int, entries: int, now: float) -> None:
        """Set the number of entries that this one is in contact with, itself included, and of all.

        Entries out of contact don't count each other's requests to cold servers. Each part of them
        uses its share of the rate. Until an entry notices that it is out of contact, its own
        requests are bounded by a multiple of its share.
        """
        contact_share = min(1.0, in_contact / entries)
        entry_share = min(1.0, MAX_ENTRY_SHARE_RATIO / entries)
        if (contact_share, entry_share) == (self._contact_share, self._entry_share):
            return
        self._contact_share, self._entry_share = contact_share, entry_share
        for known in self._known.values():
            known.set_shares(contact_share, entry_share, now)

    def record_warm_up(
        self,
        server: messages.ServerRecord,
        limit: warmup.WarmUpLimit,
        cold_until: float,
        now: float,
    ) -> None:
        """Keep the limit of a cold server until it is warm, at ``cold_until``."""
        if cold_until <= now:
            return
        known = self._known.get(server.server)
        if known is not None and server.born < known.born:
            return
        if known is None or server.born > known.born:
            known = _Known(server.born, math.inf, False, stated_at=-math.inf, level_at=now)
            self._known[server.server] = known
        known.drain(now)
        if known.warm_up is None:
            # The requests of the last moments are not known; other entries may begin now, too.
            known.contact_share, known.entry_share = self._contact_share, self._entry_share
            known.warm_up = limit
            known.level = max(known.level, known.burst)
            known.own_level = known.own_burst - MIN_BURST_REQUESTS
            known.reports_left = REPORTS_PER_CHANGE
            self._has_unreported_changes = True
        known.warm_up = limit
        known.cold_until = cold_until

    def end_warm_up(self, server: messages.ServerRecord, now: float) -> None:
        """End the limit of a server that is warm earlier than was known."""
        known = self._find(server)
        if known is not None and known.warm_up is not None:
            known.cold_until = now
            known.drain(now)

    def record_statement(
        self,
        server: messages.ServerRecord,
        statement: ServerStatement,
        now: float,
        *,
        request: str = "",
    ) -> None:
        """Record the statement of an answer to this entry."""
        if statement.limit is None:
            known = self._find(server)
            limit = known.limit if known is not None else math.inf
            statement = attrs.evolve(statement, limit=limit)
        self._update(server.server, server.born, statement, now, age_seconds=0.0, request=request)

    def record_send(self, server: str, now: float) -> None:
        """Count a request of this entry to a server."""
        known = self._known.get(server)
        if known is not None:
            known.count_sent(1, now)
            known.own_level += 1
            known.sent_count += 1
            known.zone_sent_count += 1
            known.reports_left = REPORTS_PER_CHANGE

    def handle_report(
        self,
        report: load_reports.LoadReport,
        counts: dict[str, int],
        now: float,
        *,
        of_own_zone: bool,
    ) -> None:
        """Apply the statements in another entry's report, and count its requests.

        Parameters
        ----------
        report : load_reports.LoadReport
        counts : dict of str to int
            Requests that the sender had reported, by server; this method updates it.
        now : float
        of_own_zone : bool
            Whether the sender is an entry of this availability zone.
        """
        values = iter(report.statements)
        for server, (born, limit, age, sent, leaving, trial, closed_seconds) in zip(
            report.stated_servers,
            zip(*[values] * load_reports.STATEMENT_VALUE_COUNT, strict=True),
            strict=True,
        ):
            stated = ServerStatement(
                math.inf if limit < 0 else limit,
                leaving=bool(leaving),
                closed_seconds=min(closed_seconds, MAX_CLOSED_SECONDS),
                is_refusal=bool(trial),
                starts_trial=bool(trial),
            )
            self._update(server, int(born), stated, now, age_seconds=age, reporter=report.entry)
            known = self._known.get(server)
            if known is None or known.born != int(born):
                continue
            previous = counts.get(server)
            new_requests = max(0, int(sent) - previous) if previous is not None else min(1, sent)
            counts[server] = max(int(sent), previous or 0)
            known.count_sent(new_requests, now)
            if of_own_zone:
                known.zone_sent_count += int(new_requests)

    def describe(
        self, now: float, *, only_changes: bool = False, of_zone: bool = False
    ) -> tuple[tuple[str, ...], tuple[float, ...]]:
        """Return the servers and values for `load_reports.LoadReport`.

        Parameters
        ----------
        now : float
        only_changes : bool
            Only the servers with a new statement, or to which this entry has sent a request.
        of_zone : bool
            Count the requests of all entries of this availability zone.
        """
        servers = []
        values = []
        for server, known in self._known.items():
            if only_changes and not known.reports_left:
                continue
            if only_changes:
                known.reports_left -= 1
            servers.append(server)
            sent_count = known.zone_sent_count if of_zone else known.sent_count
            limit = NO_LIMIT if known.limit == math.inf else known.limit
            age = min(NO_ANSWER_AGE_SECONDS, now - known.stated_at)
            values += (known.born, limit, age, sent_count)
            closed_seconds = max(0.0, known.closed_until - now)
            values += (float(known.leaving), float(known.is_on_trial), closed_seconds)
        if only_changes:
            self._has_unreported_changes = False
        return tuple(servers), tuple(values)

    def drain_changes(self) -> list[StatementChange]:
        """Return the changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def retain_only(self, servers: Iterable[messages.ServerRecord], now: float) -> None:
        """Remove the statements of all other servers, and of those whose limit ended long ago."""
        born_by_server = {record.server: record.born for record in servers}
        for server, known in list(self._known.items()):
            known.drain(now)
            ended = now - known.stated_at > ENDED_LIMIT_REPORT_SECONDS and known.says_nothing
            if ended or born_by_server.get(server) != known.born:
                del self._known[server]

    def _update(
        self,
        server: str,
        born: int,
        stated: ServerStatement,
        now: float,
        *,
        age_seconds: float,
        request: str = "",
        reporter: str = "",
    ) -> None:
        """Apply a statement unless a later one, or one of a later run of the server, is known."""
        known = self._known.get(server)
        if known is not None and born < known.born:
            return
        if known is None or born > known.born:
            known = _Known(born, math.inf, leaving=False, stated_at=-math.inf, level_at=now)
        stated_at = now - age_seconds
        is_latest = stated_at > known.stated_at
        before = (known.limit, known.leaving, known.is_on_trial, known.closed_until > now)
        previous_limit = known.limit
        known.drain(now)
        known.leaving = known.leaving or stated.leaving
        if is_latest:
            known.limit = stated.limit
            self._update_closed(known, stated, now)
        if before == (known.limit, known.leaving, known.is_on_trial, known.closed_until > now):
            if is_latest and not known.says_nothing:
                known.stated_at = stated_at
            return
        self._known[server] = known
        known.stated_at = max(known.stated_at, stated_at)
        known.reports_left = REPORTS_PER_CHANGE
        self._has_unreported_changes = True
        self._changes.append(
            StatementChange(
                server,
                born,
                limit=known.limit,
                previous_limit=previous_limit,
                leaving=known.leaving,
                closed_seconds=max(0.0, known.closed_until - now),
                is_on_trial=known.is_on_trial,
                age_seconds=age_seconds,
                request=request,
                reporter=reporter,
            )
        )

    def _update_closed(self, known: _Known, stated: ServerStatement, now: float) -> None:
        if stated.closed_seconds > 0:
            known.closed_until = now + stated.closed_seconds
            known.is_on_trial = True
        elif stated.starts_trial:
            known.is_on_trial = True
        elif not stated.is_refusal and now >= known.closed_until:
            # An answer within the time may be that of a request from before.
            known.is_on_trial = False


def sample(shares: Sequence[float], offset: float) -> list[int]:
    """Choose positions, each with its share as probability, and at most one more than their sum.

    This is systematic sampling: if the shares add up to at least 1, a position is always chosen.

    Parameters
    ----------
    shares : sequence of float
        Probabilities, 0 to 1.
    offset : float
        Random number, 0 to 1.
    """
    chosen = []
    end = 0.0
    for position, share in enumerate(shares):
        begin, end = end, end + share
        if math.floor(end - offset) > math.floor(begin - offset):
            chosen.append(position)
    return chosen
