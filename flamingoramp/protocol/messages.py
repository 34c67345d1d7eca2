"""Messages between processes as attrs classes; the schema gives their encoding."""

from __future__ import annotations

import attrs


@attrs.frozen
class Suspect:
    """A request content that was running when engines crashed."""

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
    """A candidate's request for a vote, or for the promise of one (``pre``)."""

    term: int = 0
    candidate: str = ""
    last_index: int = 0
    last_term: int = 0
    pre: bool = False
    cluster: str = ""


@attrs.frozen
class VoteReply:
    """The answer to a vote request."""

    term: int = 0
    granted: bool = False
    pre: bool = False


@attrs.frozen
class AppendRequest:
    """Entries and heartbeat of the leader; ``sent_at`` is on its own clock, in seconds."""

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
    """The answer to an append; ``sent_at`` echoes the request."""

    term: int = 0
    ok: bool = False
    match_index: int = 0
    sent_at: float = 0.0


@attrs.frozen
class InstallSnapshot:
    """A snapshot for a replica that is behind the log."""

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
    """An empty replica asks whether a cluster exists."""

    replica: str = ""


@attrs.frozen
class FoundingReply:
    """Identity of a replica and the cluster it belongs to, empty if none."""

    replica: str = ""
    cluster: str = ""
    probe: str = ""
    members: tuple[str, ...] = ()


@attrs.frozen
class Form:
    """The first membership of a new cluster."""

    cluster: str = ""
    replicas: tuple[str, ...] = ()


@attrs.frozen
class JoinRequest:
    """A new replica asks the leader to be added."""

    replica: str = ""


@attrs.frozen
class ShardOwner:
    """Which entry owns a shard, under which generation."""

    shard: str = ""
    owner: str = ""
    address: str = ""
    generation: int = 0


@attrs.frozen
class EntryAddress:
    """Address of an entry as callers use it."""

    name: str = ""
    url: str = ""
    zone: str = ""
    leaving: bool = False


@attrs.frozen
class SessionHeartbeat:
    """An entry's heartbeat to control; ``sent_at`` is on the entry's clock, in seconds."""

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
    """The answer to a heartbeat: configuration lease, shard owners and entries."""

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


@attrs.frozen
class ClaimRequest:
    """Claim of the only dispatch of a non-idempotent request; ``remaining`` is in seconds."""

    request_id: str = ""
    workspace: str = ""
    key: str = ""
    fingerprint: str = ""
    entry: str = ""
    remaining: float = 0.0


@attrs.frozen
class ClaimReply:
    """Result of a claim."""

    request_id: str = ""
    status: str = ""
    http_status: int = 0
    body: str = ""


@attrs.frozen
class ClaimSettle:
    """Recorded outcome of a claimed request."""

    request_id: str = ""
    workspace: str = ""
    key: str = ""
    outcome: str = ""
    http_status: int = 0
    body: str = ""


@attrs.frozen
class SuspectReport:
    """Contents that ran on an engine that crashed, and contents that finished."""

    report_id: str = ""
    service: str = ""
    fingerprints: tuple[str, ...] = ()
    lonely: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@attrs.frozen
class Settled:
    """Acknowledges a committed command; ``version`` is that of the suspects."""

    id: str = ""
    version: int = 0


@attrs.frozen
class Reserve:
    """Ask the owner of a shard for a place; ``remaining`` is in seconds."""

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
    """Memory reserved on one or more backend servers."""

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
    """The owner refuses a request."""

    request_id: str = ""
    attempt: int = 0
    code: str = ""
    text: str = ""
    retry_after: float = 0.0


@attrs.frozen
class Release:
    """The end of an attempt gives its memory back."""

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    result: str = ""
    server: str = ""


@attrs.frozen
class PrefillDone:
    """The first token arrived; ``seconds`` since dispatch."""

    request_id: str = ""
    attempt: int = 0
    shard: str = ""
    seconds: float = 0.0


@attrs.frozen
class HeldReservation:
    """One reservation that an entry still uses."""

    request_id: str = ""
    attempt: int = 0
    servers: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()
    fingerprint: str = ""
    prefill_done: bool = False


@attrs.frozen
class HoldReport:
    """What an entry uses and waits for; short reports have ``request/attempt`` in ``renewed``."""

    entry: str = ""
    entry_address: str = ""
    shard: str = ""
    held: tuple[HeldReservation, ...] = ()
    waiting: tuple[str, ...] = ()
    full: bool = False
    renewed: tuple[str, ...] = ()


@attrs.frozen
class HoldUnknown:
    """The owner asks an entry for a full report."""

    shard: str = ""
    generation: int = 0


@attrs.frozen
class Announcement:
    """A backend server announces itself; rates are in tokens per second."""

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
    """An entry as it last reported itself; ``born`` is Unix time, ``age`` seconds since heard."""

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


@attrs.frozen
class ServerRecord:
    """A backend server as it last announced itself.

    ``sequence`` grows with each announcement since its start, ``born`` is the Unix time of that
    start in milliseconds (0 if unknown), and ``age`` is in seconds since the announcement.
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


@attrs.frozen
class CrashRecord:
    """A request content that was running when a backend server broke off; ``age`` in seconds."""

    fingerprint: str = ""
    server: str = ""
    born: int = 0
    age: float = 0.0


@attrs.frozen
class Subscribe:
    """Ask a control host for updates; carries what the subscriber reports."""

    name: str = ""
    version: int = 0
    is_control: bool = False
    entries: tuple[EntryRecord, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    control: str = ""


@attrs.frozen
class ClusterUpdate:
    """What changed since the last update on this connection.

    ``confirmed`` says that the sender hears the leader, so that its version is not an old one.
    """

    version: int = 0
    document: bytes = b""
    confirmed: bool = False
    controls: tuple[str, ...] = ()
    servers: tuple[ServerRecord, ...] = ()
    entries: tuple[EntryRecord, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()


@attrs.frozen
class DeclareRequest:
    """Forward an operator's declaration to the leader."""

    request_id: str = ""
    version: int = 0
    document: bytes = b""


@attrs.frozen
class DeclareReply:
    """The leader's answer to a forwarded declaration."""

    request_id: str = ""
    accepted: bool = False
    version: int = 0
    code: str = ""
    text: str = ""


@attrs.frozen
class ReadRequest:
    """Ask the leader for the newest declaration, confirmed by a quorum."""

    request_id: str = ""


@attrs.frozen
class ReadReply:
    """The newest declaration, if a quorum confirmed the leader."""

    request_id: str = ""
    confirmed: bool = False
    version: int = 0
    document: bytes = b""


@attrs.frozen
class EngineLoad:
    """What one entry has running on a backend server.

    ``strict``, ``relaxed`` and ``patient`` count answers by the pauses that they tolerate;
    ``reading_seconds`` is prompt reading ahead, of which ``part_seconds`` is the longest piece, and
    ``reading_credit`` what the requests are worth that wait for it.
    """

    server: str = ""
    strict: int = 0
    relaxed: int = 0
    patient: int = 0
    reading_seconds: float = 0.0
    part_seconds: float = 0.0
    memory_tokens: int = 0
    helping: int = 0
    reading_credit: float = 0.0


@attrs.frozen
class LoadReport:
    """What one entry has running, or all entries of an availability zone (``is_summary``).

    A report of many servers comes in parts, each of which replaces the one of its number. With
    ``only_changes`` it tells of some servers only, and of the others that nothing changed.
    """

    entry: str = ""
    incarnation: str = ""
    sequence: int = 0
    engines: tuple[EngineLoad, ...] = ()
    zone: str = ""
    is_summary: bool = False
    part: int = 0
    only_changes: bool = False


@attrs.frozen
class Ping:
    """Liveness check of a connection."""

    sequence: int = 0


@attrs.frozen
class Pong:
    """Answer to a ping."""

    sequence: int = 0
