"""Which servers an attempt goes to, by what this entry knows at the moment."""

from __future__ import annotations

import random

from flamingoramp import errors
from flamingoramp.dispatch import forwarding
from flamingoramp.intent import traffic
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.routing import load_book, observations, placement, rates

# Announcements missed in a row before a server is used only if no other is left.
MISSED_ANNOUNCEMENTS = 3.5
# A server of another zone is as good as one with this many requests more.
OTHER_ZONE_REQUESTS = 0.5
# Callers leave a stream that says nothing for this long, or for so many objectives or tolerated
# pauses, whichever is longest; so the platform's callers do.
PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
# Part of a time to return by which callers are spread, so that they don't all return at once.
RETURN_SPREAD = 0.3


class Selection:
    """Chooses servers from the registry, by load and by how they have been doing.

    Parameters
    ----------
    known : registry.Registry
    book : load_book.LoadBook
    observed : observations.Observations
    zone : str
        Availability zone of this entry.
    announce_seconds : float
        How often servers announce themselves.
    """

    def __init__(
        self,
        known: registry.Registry,
        book: load_book.LoadBook,
        observed: observations.Observations,
        *,
        zone: str,
        announce_seconds: float,
    ):
        self._registry = known
        self._book = book
        self._observations = observed
        self._zone = zone
        # Control passes renewals on only now and then.
        self._silence = registry.RENEWAL_INTERVAL_SECONDS + MISSED_ANNOUNCEMENTS * announce_seconds
        self._arrivals: dict[str, rates.RateMeter] = {}

    def choose(
        self,
        declaration: traffic.TrafficDeclaration,
        admitted: forwarding.Admitted,
        excluded: set[str],
        *,
        now: float,
        hears_control: bool,
        entries: int,
    ) -> forwarding.Target:
        """Choose where the next attempt of a request goes.

        Parameters
        ----------
        declaration : traffic.TrafficDeclaration
        admitted : forwarding.Admitted
        excluded : set of str
            Servers that it was sent to, or that refused it.
        now : float
            Monotonic seconds.
        hears_control : bool
            Whether a server's announcements would have reached this entry.
        entries : int
            Entries that share the arrivals.

        Raises
        ------
        flamingoramp.errors.NoBackendError
            If no server of the service is known.
        flamingoramp.errors.OverloadedError
            If no engine has room.
        """
        service = declaration.find_service(admitted.service)
        candidates, records = self._candidates(admitted.service, excluded, now, hears_control)
        if service is None or not candidates:
            raise errors.NoBackendError(
                f"no server of {admitted.service} is known",
                retry_after=forwarding.RETRY_AFTER_SECONDS,
            )
        if service.engine is None or not admitted.caller.prompt_tokens:
            return self._choose_plain(candidates, records)
        job = placement.Job(
            prompt_tokens=admitted.caller.prompt_tokens,
            output_tokens=admitted.caller.output_tokens,
            objective=admitted.route.latency_objective_seconds,
            pause=admitted.route.gap_objective_seconds,
            zone=self._zone,
            limit=admitted.time_limit,
            patience=patience(admitted.route),
        )
        meter = self._arrivals.setdefault(service.name, rates.RateMeter())
        if not excluded:
            meter.add(job.credit, now)
        planner = placement.Planner(service.engine)
        found = planner.place(job, candidates, arriving=entries * meter.rate(now))
        if found is None:
            raise _make_refusal(planner.seconds_until_free(candidates))
        return _to_target(found, job, records, now)

    def _candidates(
        self, service: str, excluded: set[str], now: float, hears_control: bool
    ) -> tuple[list[placement.Candidate], dict[str, messages.ServerRecord]]:
        candidates = []
        records = {}
        for record in self._registry.servers():
            if record.service != service or record.leaving or record.server in excluded:
                continue
            life = observations.name_life(record)
            silence = self._registry.seconds_since_report(record.server, now)
            silent = hears_control and silence > self._silence
            paused = self._observations.is_paused(life, now)
            records[record.server] = record
            candidates.append(
                placement.Candidate(
                    server=record.server,
                    address=record.address,
                    zone=record.zone,
                    load=self._book.load(record.server, now),
                    pace=self._observations.pace(life, now),
                    is_doubtful=silent or paused or self._observations.is_doubtful(life, now),
                )
            )
        sound = [one for one in candidates if not one.is_doubtful]
        return sound or candidates, records

    def _choose_plain(
        self,
        candidates: list[placement.Candidate],
        records: dict[str, messages.ServerRecord],
    ) -> forwarding.Target:
        """Choose the server with the fewest requests."""

        def _cost(one: placement.Candidate) -> tuple[float, str]:
            return one.load.answers + OTHER_ZONE_REQUESTS * (one.zone != self._zone), one.server

        chosen = min(candidates, key=_cost)
        work = load_book.Work(server=chosen.server)
        return forwarding.Target(records[chosen.server], works=(work,))


def patience(route: traffic.Route) -> float:
    """Return how long a caller waits for the first piece of a stream, in seconds."""
    return max(
        PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * route.latency_objective_seconds,
        PATIENCE_PAUSES * route.gap_objective_seconds,
    )


def _make_refusal(seconds_until_free: float) -> errors.OverloadedError:
    """Return a refusal that tells callers, a little apart, when an engine is free."""
    wait = max(forwarding.RETRY_AFTER_SECONDS, seconds_until_free)
    spread = 1 + RETURN_SPREAD * random.random()
    return errors.OverloadedError("no engine has room in time", retry_after=round(spread * wait, 2))


def _to_target(
    found: placement.Placement,
    job: placement.Job,
    records: dict[str, messages.ServerRecord],
    now: float,
) -> forwarding.Target:
    """Return a placement with the work that it adds to each engine."""
    until = now + found.first_token_seconds
    held = found.held_tokens or (0,) * len(found.helpers)
    first = load_book.Work(
        server=found.first.server,
        pause=job.pause,
        memory_tokens=job.prompt_tokens + job.output_tokens - sum(held),
        part_seconds=found.part_seconds,
        reading_until=until,
        credit=job.credit,
    )
    helping = [
        load_book.Work(
            server=helper.server,
            memory_tokens=tokens,
            part_seconds=found.part_seconds,
            reading_until=until,
            is_helper=True,
            credit=job.credit,
        )
        for helper, tokens in zip(found.helpers, held, strict=True)
    ]
    return forwarding.Target(
        server=records[found.first.server],
        helpers=tuple(records[one.server] for one in found.helpers),
        held_tokens=found.held_tokens,
        works=(first, *helping),
        predicted_seconds=found.first_token_seconds,
        risk=found.risk,
    )
