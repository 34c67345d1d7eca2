"""Messages between the system's processes, as attrs classes.

Their fields are sent by position: a later build may add fields, with a default, at the end only.
Durations and ages are in seconds unless stated otherwise.
"""

from __future__ import annotations

import attrs

from flamingoramp import value_classes

# Metadata of a list of numbers that is sent as floating-point numbers of 32 bits.
SINGLE_PRECISION = "single precision"


@attrs.frozen(eq=False, repr=False)
class LogEntry(value_classes.Value):
    """One entry of the replicated log."""

    index: int = 0
    term: int = 0
    kind: str = ""
    payload: bytes = b""


@attrs.frozen(eq=False, repr=False)
class VoteRequest(value_classes.Value):
    """A candidate's request for a vote, or for a pre-vote if ``pre`` is set."""

    term: int = 0
    candidate: str = ""
    last_index: int = 0
    last_term: int = 0
    pre: bool = False
    cluster: str = ""


@attrs.frozen(eq=False, repr=False)
class VoteReply(value_classes.Value):
    """Reply to a `VoteRequest`."""

    term: int = 0
    granted: bool = False
    pre: bool = False


@attrs.frozen(eq=False, repr=False)
class AppendRequest(value_classes.Value):
    """Log entries and heartbeat of the leader; ``sent_at`` is in seconds of the leader's clock."""

    term: int = 0
    leader: str = ""
    prev_index: int = 0
    prev_term: int = 0
    entries: tuple[LogEntry, ...] = ()
    commit: int = 0
    sent_at: float = 0.0
    cluster: str = ""


@attrs.frozen(eq=False, repr=False)
class AppendReply(value_classes.Value):
    """Reply to an `AppendRequest`; ``sent_at`` is that of the request."""

    term: int = 0
    ok: bool = False
    match_index: int = 0
    sent_at: float = 0.0


@attrs.frozen(eq=False, repr=False)
class InstallSnapshot(value_classes.Value):
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


@attrs.frozen(eq=False, repr=False)
class LeadershipTransfer(value_classes.Value):
    """Tells that the leader of a term leads no longer, and which replica is to elect itself."""

    term: int = 0
    successor: str = ""
    cluster: str = ""


@attrs.frozen(eq=False, repr=False)
class FoundingProbe(value_classes.Value):
    """Question of a replica without data to its peers, whether they belong to a cluster."""

    replica: str = ""


@attrs.frozen(eq=False, repr=False)
class FoundingReply(value_classes.Value):
    """Reply to a `FoundingProbe`: the replica's identity and its cluster (empty if it has none).

    ``probe`` is the identity of the replica that asked, ``members`` are those of the cluster.
    ``may_create`` tells whether the replica may create a cluster.
    """

    replica: str = ""
    cluster: str = ""
    probe: str = ""
    members: tuple[str, ...] = ()
    may_create: bool = False


@attrs.frozen(eq=False, repr=False)
class Form(value_classes.Value):
    """Initial replicas of a new cluster."""

    cluster: str = ""
    replicas: tuple[str, ...] = ()


@attrs.frozen(eq=False, repr=False)
class JoinRequest(value_classes.Value):
    """Request of a new replica to the leader to be added to the cluster."""

    replica: str = ""


@attrs.frozen(eq=False, repr=False)
class LeaveRequest(value_classes.Value):
    """Request of a replica that is about to stop to the leader, to be removed from the cluster."""

    replica: str = ""


@attrs.frozen(eq=False, repr=False)
class LeaveReply(value_classes.Value):
    """The leader's decision on a `LeaveRequest`; if ``removed`` isn't set, it stays a voter."""

    replica: str = ""
    removed: bool = False


@attrs.frozen(eq=False, repr=False)
class EntryRecord(value_classes.Value):
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


@attrs.frozen(eq=False, repr=False)
class ServerRecord(value_classes.Value):
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


@attrs.frozen(eq=False, repr=False)
class CrashRecord(value_classes.Value):
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


@attrs.frozen(eq=False, repr=False)
class DocumentPiece(value_classes.Value):
    """A number of added bytes, and after them a range of bytes that the earlier document has."""

    added_length: int = 0
    offset: int = 0
    copied_length: int = 0


@attrs.frozen(eq=False, repr=False)
class DocumentDelta(value_classes.Value):
    """Difference of a document from an earlier version that the receiver has.

    ``added`` has the added bytes of all pieces, compressed, ``digest`` is that of the result.
    """

    base_version: int = 0
    pieces: tuple[DocumentPiece, ...] = ()
    added: bytes = b""
    digest: bytes = b""


@attrs.frozen(eq=False, repr=False)
class Subscribe(value_classes.Value):
    """Subscription to the updates of a control host, with the subscriber's own reports.

    ``version`` is that of the declaration that the subscriber has. It takes differences from
    ``base_version``, and only whole documents if that is 0. A control host as subscriber
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
    base_version: int = 0
    evacuation_number: int = 0
    probe: int = 0


@attrs.frozen(eq=False, repr=False)
class ClusterUpdate(value_classes.Value):
    """Changes since the previous update on this connection.

    ``confirmed`` is set if the sender is in contact with the leader, so that its version of the
    declaration is not outdated. ``document`` (the declaration, compressed), ``controls`` (the
    addresses of the control hosts) and ``zone`` (the sender's availability zone) are empty if they
    haven't changed. ``deltas`` has one item if a new version is sent as a difference.
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
    deltas: tuple[DocumentDelta, ...] = ()
    evacuation_number: int = 0
    evacuated_zones: tuple[str, ...] = ()
    probe: int = 0


@attrs.frozen(eq=False, repr=False)
class DeclareRequest(value_classes.Value):
    """Declaration of an operator, forwarded to the leader; ``document`` is compressed."""

    request_id: str = ""
    version: int = 0
    document: bytes = b""


@attrs.frozen(eq=False, repr=False)
class DeclareReply(value_classes.Value):
    """Reply of the leader to a `DeclareRequest`."""

    request_id: str = ""
    accepted: bool = False
    version: int = 0
    code: str = ""
    text: str = ""


@attrs.frozen(eq=False, repr=False)
class ReadRequest(value_classes.Value):
    """Request to the leader for the latest declaration, confirmed by a quorum.

    ``known_version`` is the version that the sender has.
    """

    request_id: str = ""
    known_version: int = 0


@attrs.frozen(eq=False, repr=False)
class ReadReply(value_classes.Value):
    """Reply to a `ReadRequest`; holds the latest version if a quorum confirmed the leader.

    ``document`` is compressed, and empty if the sender of the request has that version.
    """

    request_id: str = ""
    confirmed: bool = False
    version: int = 0
    document: bytes = b""


@attrs.frozen(eq=False, repr=False)
class EvacuationRequest(value_classes.Value):
    """Order of an operator about an availability zone, forwarded to the leader.

    ``after`` is the index of the last order about the zone that the sender knew when it read this
    one.
    """

    request_id: str = ""
    zone: str = ""
    evacuated: bool = False
    after: int = 0


@attrs.frozen(eq=False, repr=False)
class EvacuationReply(value_classes.Value):
    """Reply of the leader to an `EvacuationRequest`.

    The order is committed (``accepted``), or it is outdated by another one at ``last_index``, or
    neither: it may be committed later.
    """

    request_id: str = ""
    accepted: bool = False
    is_outdated: bool = False
    last_index: int = 0


@attrs.frozen(eq=False, repr=False)
class ServerReachability(value_classes.Value):
    """Tells other entries which runs of servers an entry found not to accept connections.

    Runs are named as `observations.instance_key` does. Those that the entry has reached though
    another one told otherwise are ``refuted``, for entries of its availability zone. Those that it
    told of itself and has reached since have ``recovered``. Those that sent nothing for a request
    are ``stalled``, while their announcements are missing too. What is ``unresponsive`` is to be
    believed for ``valid_seconds``.
    """

    entry: str = ""
    zone: str = ""
    unresponsive: tuple[str, ...] = ()
    refuted: tuple[str, ...] = ()
    recovered: tuple[str, ...] = ()
    stalled: tuple[str, ...] = ()
    valid_seconds: float = 0.0


@attrs.frozen(eq=False, repr=False)
class Ping(value_classes.Value):
    """Liveness check of a connection."""

    sequence: int = 0


@attrs.frozen(eq=False, repr=False)
class Pong(value_classes.Value):
    """Reply to a `Ping`."""

    sequence: int = 0
