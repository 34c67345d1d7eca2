"""Messages between entries, the owners of shards and control replicas, as attrs classes.

Processes that find each other by seed addresses exchange only those of `messages` and don't import
this module. The same rules apply to its classes.
"""

from __future__ import annotations

import attrs

from flamingoramp import value_classes


@attrs.frozen(eq=False, repr=False)
class Suspect(value_classes.Value):
    """A request content, by fingerprint, that ran on engines when they crashed.

    ``crashes`` counts the crashes of engines on which it ran alone; ``confirmed`` is set if they
    suffice for its quarantine.
    """

    fingerprint: str = ""
    crashes: int = 0
    confirmed: bool = False
    service: str = ""


@attrs.frozen(eq=False, repr=False)
class ShardOwner(value_classes.Value):
    """The entry that owns a shard, and the generation of its ownership."""

    shard: str = ""
    owner: str = ""
    address: str = ""
    generation: int = 0


@attrs.frozen(eq=False, repr=False)
class EntryAddress(value_classes.Value):
    """Address at which callers reach an entry."""

    name: str = ""
    url: str = ""
    zone: str = ""
    leaving: bool = False


@attrs.frozen(eq=False, repr=False)
class SessionHeartbeat(value_classes.Value):
    """Heartbeat of an entry to a control host; ``sent_at`` is in seconds of the entry's clock.

    ``url`` and ``inner`` are its addresses for callers and for the system's own processes,
    ``streams`` is the number of its requests in progress. ``revision``, ``quarantine_version`` and
    ``table_version`` are those of the declaration, the suspects, and the shard owners and entries
    that it has.
    """

    entry: str = ""
    incarnation: str = ""
    sent_at: float = 0.0
    revision: int = 0
    url: str = ""
    inner: str = ""
    zone: str = ""
    leaving: bool = False
    streams: int = 0
    quarantine_version: int = 0
    table_version: int = 0


@attrs.frozen(eq=False, repr=False)
class SessionGrant(value_classes.Value):
    """Reply to a `SessionHeartbeat`: configuration lease, shard owners, entries and suspects.

    It omits what the entry has already in the current version, but names all evacuated zones. With
    ``partial_entries`` there may be entries that it doesn't list. ``drain`` requests that the entry
    drains and stops. A reply without a lease (``granted`` is false) sets only ``sent_at`` and
    ``leader``.
    """

    sent_at: float = 0.0
    granted: bool = False
    leader: str = ""
    term: int = 0
    revision: int = 0
    document: str = ""
    lease_seconds: float = 0.0
    shards: tuple[ShardOwner, ...] = ()
    entries: tuple[EntryAddress, ...] = ()
    quarantine_version: int = 0
    suspects: tuple[Suspect, ...] = ()
    drain: bool = False
    table_version: int = 0
    partial_entries: bool = False
    evacuated_zones: tuple[str, ...] = ()


@attrs.frozen(eq=False, repr=False)
class ClaimRequest(value_classes.Value):
    """Claim of the right to dispatch a non-idempotent request, which is granted once.

    ``remaining`` is the time in seconds until the deadline of the request.
    """

    request_id: str = ""
    workspace: str = ""
    key: str = ""
    fingerprint: str = ""
    entry: str = ""
    remaining: float = 0.0


@attrs.frozen(eq=False, repr=False)
class ClaimReply(value_classes.Value):
    """Reply to a `ClaimRequest`.

    ``http_status`` and ``body`` are those of the stored response, if there is one.
    """

    request_id: str = ""
    status: str = ""
    http_status: int = 0
    body: str = ""


@attrs.frozen(eq=False, repr=False)
class ClaimSettle(value_classes.Value):
    """Outcome of a claimed request, to be recorded."""

    request_id: str = ""
    workspace: str = ""
    key: str = ""
    outcome: str = ""
    http_status: int = 0
    body: str = ""


@attrs.frozen(eq=False, repr=False)
class SuspectReport(value_classes.Value):
    """Fingerprints of request contents that ran on a crashed engine, and of cleared ones.

    ``lonely`` are those that ran alone on the engine, ``cleared`` those that are no longer suspect,
    since a request with this content finished or the engine had not crashed.
    """

    report_id: str = ""
    service: str = ""
    fingerprints: tuple[str, ...] = ()
    lonely: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@attrs.frozen(eq=False, repr=False)
class Settled(value_classes.Value):
    """Acknowledgement that a command was committed; ``version`` is that of the suspects."""

    id: str = ""
    version: int = 0


@attrs.frozen(eq=False, repr=False)
class Reserve(value_classes.Value):
    """Request to the owner of a shard to reserve memory on backend servers.

    ``remaining`` is the time in seconds until the deadline of the request.
    """

    request_id: str = ""
    attempt: int = 0
    service: str = ""
    shard: str = ""
    generation: int = 0
    workspace: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    remaining: float = 0.0
    entry: str = ""
    entry_address: str = ""
    zone: str = ""
    excluded: tuple[str, ...] = ()
    fingerprint: str = ""
    idempotent: bool = False


@attrs.frozen(eq=False, repr=False)
class Grant(value_classes.Value):
    """Reply to a `Reserve`: memory reserved on one or more backend servers.

    ``urls`` and ``tokens`` have the address of each server and the size of its reservation.
    ``priority`` is the class of the predicted prefill time, 0 for the shortest.
    """

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    generation: int = 0
    servers: tuple[str, ...] = ()
    urls: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()
    priority: int = 0
    predicted_prefill: float = 0.0
    cached_tokens: int = 0


@attrs.frozen(eq=False, repr=False)
class Refuse(value_classes.Value):
    """Reply to a `Reserve`: the owner of the shard refuses the request."""

    request_id: str = ""
    attempt: int = 0
    code: str = ""
    text: str = ""
    retry_after: float = 0.0


@attrs.frozen(eq=False, repr=False)
class Release(value_classes.Value):
    """End of an attempt, which frees its reserved memory.

    ``result`` is the result of the attempt at ``server``, such as ``done`` or ``crashed``.
    """

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    result: str = ""
    server: str = ""


@attrs.frozen(eq=False, repr=False)
class PrefillDone(value_classes.Value):
    """Arrival of the first token, ``seconds`` after dispatch."""

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    seconds: float = 0.0


@attrs.frozen(eq=False, repr=False)
class HeldReservation(value_classes.Value):
    """A reservation that an entry is using."""

    request_id: str = ""
    attempt: int = 0
    servers: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()
    fingerprint: str = ""
    prefill_done: bool = False


@attrs.frozen(eq=False, repr=False)
class HoldReport(value_classes.Value):
    """Reservations that an entry uses and waits for in one shard.

    ``held`` describes reservations in full, ``renewed`` only names them, as ``request/attempt``;
    ``full`` is set if all are in ``held``. ``waiting`` has the ids of requests without a grant.
    """

    entry: str = ""
    entry_address: str = ""
    shard: str = ""
    held: tuple[HeldReservation, ...] = ()
    waiting: tuple[str, ...] = ()
    full: bool = False
    renewed: tuple[str, ...] = ()


@attrs.frozen(eq=False, repr=False)
class HoldUnknown(value_classes.Value):
    """Request of a shard's owner for a full `HoldReport`: it doesn't know a named reservation."""

    shard: str = ""
    generation: int = 0


@attrs.frozen(eq=False, repr=False)
class ServerLeaving(value_classes.Value):
    """Notice of a shard's owner that a server of a granted group has announced its leave."""

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    server: str = ""


@attrs.frozen(eq=False, repr=False)
class Announcement(value_classes.Value):
    """Announcement of a backend server: address, capacity, load and cache changes.

    ``prefill_rate`` is in tokens per second, ``decode_seconds`` the time for one output token.
    ``cached`` and ``evicted`` are hashes of prompt prefixes. ``highest_fence`` is the highest
    fencing number of the orders that the server accepted; with ``honours_fencing`` it rejects
    orders with a lower one.
    """

    server: str = ""
    service: str = ""
    incarnation: int = 0
    sequence: int = 0
    leaving: bool = False
    url: str = ""
    zone: str = ""
    memory_tokens: int = 0
    slots: int = 0
    prefill_rate: float = 0.0
    decode_seconds: float = 0.0
    models: tuple[str, ...] = ()
    honours_fencing: bool = False
    running: int = 0
    memory_used: int = 0
    cache_sequence: int = 0
    cached: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    role: str = ""
    highest_fence: int = 0
