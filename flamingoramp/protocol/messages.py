"""Messages between the system's processes, as attrs classes.

The classes and their attributes have the names of the structs and fields in ``schema.capnp``, in
camel case there. Durations and ages are in seconds unless stated otherwise.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Suspect:
    """A request content, by fingerprint, that ran on engines when they crashed.

    ``crashes`` counts the crashes of engines on which it ran alone; ``confirmed`` is set if they
    suffice for its quarantine.
    """

    fingerprint: str = ""
    crashes: int = 0
    confirmed: bool = False
    service: str = ""


@attrs.frozen
class LogEntry:
    """One entry of the replicated log."""

    index: int = 0
    term: int = 0
    kind: str = ""
    payload: bytes = b""


@attrs.frozen
class VoteRequest:
    """A candidate's request for a vote, or for a pre-vote if ``pre`` is set."""

    term: int = 0
    candidate: str = ""
    last_index: int = 0
    last_term: int = 0
    pre: bool = False
    cluster: str = ""


@attrs.frozen
class VoteReply:
    """Reply to a `VoteRequest`."""

    term: int = 0
    granted: bool = False
    pre: bool = False


@attrs.frozen
class AppendRequest:
    """Log entries and heartbeat of the leader; ``sent_at`` is in seconds of the leader's clock."""

    term: int = 0
    leader: str = ""
    prev_index: int = 0
    prev_term: int = 0
    entries: tuple[LogEntry, ...] = ()
    commit: int = 0
    sent_at: float = 0.0
    cluster: str = ""


@attrs.frozen
class AppendReply:
    """Reply to an `AppendRequest`; ``sent_at`` is that of the request."""

    term: int = 0
    ok: bool = False
    match_index: int = 0
    sent_at: float = 0.0


@attrs.frozen
class InstallSnapshot:
    """A snapshot for a replica that needs entries which the leader's log no longer contains."""

    term: int = 0
    leader: str = ""
    last_index: int = 0
    last_term: int = 0
    replicas: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    data: bytes = b""
    sent_at: float = 0.0
    cluster: str = ""


@attrs.frozen
class FoundingProbe:
    """Question of a replica without data to its peers, whether they belong to a cluster."""

    replica: str = ""


@attrs.frozen
class FoundingReply:
    """Reply to a `FoundingProbe`: the replica's identity and its cluster (empty if it has none).

    ``probe`` is the identity of the replica that asked, ``members`` are those of the cluster.
    """

    replica: str = ""
    cluster: str = ""
    probe: str = ""
    members: tuple[str, ...] = ()


@attrs.frozen
class Form:
    """Initial replicas of a new cluster."""

    cluster: str = ""
    replicas: tuple[str, ...] = ()


@attrs.frozen
class JoinRequest:
    """Request of a new replica to the leader to be added to the cluster."""

    replica: str = ""


@attrs.frozen
class ShardOwner:
    """The entry that owns a shard, and the generation of its ownership."""

    shard: str = ""
    owner: str = ""
    address: str = ""
    generation: int = 0


@attrs.frozen
class EntryAddress:
    """Address at which callers reach an entry."""

    name: str = ""
    url: str = ""
    zone: str = ""
    leaving: bool = False


@attrs.frozen
class SessionHeartbeat:
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


@attrs.frozen
class SessionGrant:
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


@attrs.frozen
class ClaimRequest:
    """Claim of the right to dispatch a non-idempotent request, which is granted once.

    ``remaining`` is the time in seconds until the deadline of the request.
    """

    request_id: str = ""
    workspace: str = ""
    key: str = ""
    fingerprint: str = ""
    entry: str = ""
    remaining: float = 0.0


@attrs.frozen
class ClaimReply:
    """Reply to a `ClaimRequest`.

    ``http_status`` and ``body`` are those of the stored response, if there is one.
    """

    request_id: str = ""
    status: str = ""
    http_status: int = 0
    body: str = ""


@attrs.frozen
class ClaimSettle:
    """Outcome of a claimed request, to be recorded."""

    request_id: str = ""
    workspace: str = ""
    key: str = ""
    outcome: str = ""
    http_status: int = 0
    body: str = ""


@attrs.frozen
class SuspectReport:
    """Fingerprints of request contents that ran on a crashed engine, and of cleared ones.

    ``lonely`` are those that ran alone on the engine, ``cleared`` those that are no longer suspect,
    since a request with this content finished or the engine had not crashed.
    """

    report_id: str = ""
    service: str = ""
    fingerprints: tuple[str, ...] = ()
    lonely: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@attrs.frozen
class Settled:
    """Acknowledgement that a command was committed; ``version`` is that of the suspects."""

    id: str = ""
    version: int = 0


@attrs.frozen
class Reserve:
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


@attrs.frozen
class Grant:
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


@attrs.frozen
class Refuse:
    """Reply to a `Reserve`: the owner of the shard refuses the request."""

    request_id: str = ""
    attempt: int = 0
    code: str = ""
    text: str = ""
    retry_after: float = 0.0


@attrs.frozen
class Release:
    """End of an attempt, which frees its reserved memory.

    ``result`` is the result of the attempt at ``server``, such as ``done`` or ``crashed``.
    """

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    result: str = ""
    server: str = ""


@attrs.frozen
class PrefillDone:
    """Arrival of the first token, ``seconds`` after dispatch."""

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    seconds: float = 0.0


@attrs.frozen
class HeldReservation:
    """A reservation that an entry is using."""

    request_id: str = ""
    attempt: int = 0
    servers: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()
    fingerprint: str = ""
    prefill_done: bool = False


@attrs.frozen
class HoldReport:
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


@attrs.frozen
class HoldUnknown:
    """Request of a shard's owner for a full `HoldReport`: it doesn't know a named reservation."""

    shard: str = ""
    generation: int = 0


@attrs.frozen
class ServerLeaving:
    """Notice of a shard's owner that a server of a granted group has announced its leave."""

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    server: str = ""


@attrs.frozen
class Announcement:
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


@attrs.frozen
class EntryRecord:
    """Last state that an entry reported of itself.

    ``callers`` and ``inner`` are its addresses for callers and for the system's own processes.
    ``born`` is the Unix time of its start in seconds, ``age`` the time in seconds since the report.
    ``gone`` is set by a control host that has not heard from it for long. ``cut_off`` tells that it
    reaches no backend server.
    """

    entry: str = ""
    incarnation: str = ""
    callers: str = ""
    inner: str = ""
    zone: str = ""
    ready: bool = False
    leaving: bool = False
    sequence: int = 0
    age: float = 0.0
    born: float = 0.0
    gone: bool = False
    cut_off: bool = False


@attrs.frozen
class ServerRecord:
    """Last state that a backend server announced.

    ``born`` is the Unix time of the server's start in milliseconds (0 if unknown), ``sequence``
    increases with each announcement since then, and ``age`` is the time in seconds since the last
    one. ``software`` is the version of its software, ``cold_seconds`` the remaining time of its
    cold start. ``gone`` is set if a server that started later has its address, ``silent`` by a
    control host if announcements are missing.
    """

    server: str = ""
    service: str = ""
    address: str = ""
    zone: str = ""
    software: str = ""
    slots: int = 0
    leaving: bool = False
    cold_seconds: float = 0.0
    sequence: int = 0
    born: int = 0
    age: float = 0.0
    gone: bool = False
    silent: bool = False


@attrs.frozen
class CrashRecord:
    """A fingerprint of a request that a backend server had when it ended.

    ``born`` is that of the server's `ServerRecord`; ``age`` is the time in seconds since the end,
    ``seconds`` that from the sending of the request to the end. With ``is_clearance`` the record
    tells of a complete answer to a request with the fingerprint, ``age`` ago: it had no part in
    ends before.
    """

    fingerprint: str = ""
    server: str = ""
    born: int = 0
    age: float = 0.0
    seconds: float = 0.0
    is_clearance: bool = False


@attrs.frozen
class Subscribe:
    """Subscription to the updates of a control host, with the subscriber's own reports.

    ``version`` is that of the declaration that the subscriber has. A control host as subscriber
    sets ``is_control``, and its address in ``control``. A subscriber that receives the records of
    servers and entries from another control host sets ``standby``. ``evacuation_number`` is that of
    the evacuated zones that the subscriber has. A ``probe`` that is not 0 asks for an update that
    repeats it, and so was made after the subscriber sent this.
    """

    name: str = ""
    version: int = 0
    is_control: bool = False
    entries: tuple[EntryRecord, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    control: str = ""
    standby: bool = False
    evacuation_number: int = 0
    probe: int = 0


@attrs.frozen
class ClusterUpdate:
    """Changes since the previous update on this connection.

    ``confirmed`` is set if the sender is in contact with the leader, so that its version of the
    declaration is not outdated. ``document`` (the declaration, compressed), ``controls`` (the
    addresses of the control hosts) and ``zone`` (the sender's availability zone) are empty if they
    haven't changed. ``evacuated_zones`` are all evacuated zones as of ``evacuation_number``, which
    is 0 if the subscriber has them. ``probe`` is that of the subscriber, 0 for none.
    """

    version: int = 0
    document: bytes = b""
    confirmed: bool = False
    controls: tuple[str, ...] = ()
    servers: tuple[ServerRecord, ...] = ()
    entries: tuple[EntryRecord, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    zone: str = ""
    evacuation_number: int = 0
    evacuated_zones: tuple[str, ...] = ()
    probe: int = 0


@attrs.frozen
class DeclareRequest:
    """Declaration of an operator, forwarded to the leader; ``document`` is compressed."""

    request_id: str = ""
    version: int = 0
    document: bytes = b""


@attrs.frozen
class DeclareReply:
    """Reply of the leader to a `DeclareRequest`."""

    request_id: str = ""
    accepted: bool = False
    version: int = 0
    code: str = ""
    text: str = ""


@attrs.frozen
class ReadRequest:
    """Request to the leader for the latest declaration, confirmed by a quorum.

    ``known_version`` is the version that the sender has.
    """

    request_id: str = ""
    known_version: int = 0


@attrs.frozen
class ReadReply:
    """Reply to a `ReadRequest`; holds the latest version if a quorum confirmed the leader.

    ``document`` is compressed, and empty if the sender of the request has that version.
    """

    request_id: str = ""
    confirmed: bool = False
    version: int = 0
    document: bytes = b""


@attrs.frozen
class EvacuationRequest:
    """Order of an operator about an availability zone, forwarded to the leader.

    ``after`` is the index of the last order about the zone that the sender knew when it read this
    one.
    """

    request_id: str = ""
    zone: str = ""
    evacuated: bool = False
    after: int = 0


@attrs.frozen
class EvacuationReply:
    """Reply of the leader to an `EvacuationRequest`.

    The order is committed (``accepted``), or it is outdated by another one at ``last_index``, or
    neither: it may be committed later.
    """

    request_id: str = ""
    accepted: bool = False
    is_outdated: bool = False
    last_index: int = 0


@attrs.frozen
class Ping:
    """Liveness check of a connection."""

    sequence: int = 0


@attrs.frozen
class Pong:
    """Reply to a `Ping`."""

    sequence: int = 0
