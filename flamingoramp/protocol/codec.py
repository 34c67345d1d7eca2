"""Encoding of messages as MessagePack frames: length-prefixed in streams, bare in datagrams.

A frame has a byte for its format, a byte for the class of the message and an array of the sender,
its clock and the fields of the message by position. Records within a message are arrays of their
fields, too. A field that a frame lacks takes its default, and further ones are ignored: a later
build may add fields at the end of a class, and must not change the others.
"""

from __future__ import annotations

import functools
import operator
import struct
import typing
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from msgspec import msgpack

from flamingoramp import errors, value_classes
from flamingoramp.protocol import messages

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_535
# A record of one byte in a frame, without any field, takes some hundred bytes of memory.
MAX_ITEMS = 2**16

# No frame of the former format (Cap'n Proto, packed) begins with this byte.
FORMAT = 0x4D
_HEADER = struct.Struct("BB")

_NAME_BY_TAG = {
    1: "VoteRequest",
    2: "VoteReply",
    3: "AppendRequest",
    4: "AppendReply",
    5: "InstallSnapshot",
    6: "FoundingProbe",
    7: "FoundingReply",
    8: "Form",
    9: "JoinRequest",
    10: "SessionHeartbeat",
    11: "SessionGrant",
    12: "ClaimRequest",
    13: "ClaimReply",
    14: "ClaimSettle",
    15: "SuspectReport",
    16: "Settled",
    17: "Reserve",
    18: "Grant",
    19: "Refuse",
    20: "Release",
    21: "PrefillDone",
    22: "HoldReport",
    23: "HoldUnknown",
    24: "Announcement",
    25: "Ping",
    26: "Pong",
    28: "Subscribe",
    29: "ClusterUpdate",
    30: "DeclareRequest",
    31: "DeclareReply",
    32: "ReadRequest",
    33: "ReadReply",
    34: "LoadReport",
    35: "ServerLeaving",
    36: "EvacuationRequest",
    37: "EvacuationReply",
    38: "ServerReachability",
    39: "LeadershipTransfer",
    40: "LeaveRequest",
    41: "LeaveReply",
}
_TAG_BY_NAME = {name: tag for tag, name in _NAME_BY_TAG.items()}

# Whole numbers are shorter than floating-point numbers; the decoder takes either.
_WHOLE_NUMBERS = {float(number): number for number in range(128)}
_ENCODED_WHOLE_NUMBERS = {number: msgpack.encode(int(number)) for number in _WHOLE_NUMBERS}
_ENCODED_SINGLE = struct.Struct(">Bf")
_SINGLE_MARKER = 0xCA
_ENCODED_DOUBLE = struct.Struct(">Bd")
_DOUBLE_MARKER = 0xCB
_ARRAY_HEADER = struct.Struct(">BI")
_ARRAY_MARKER = 0xDD

_UnsignedInteger = typing.Annotated[int, msgspec.Meta(ge=0)]
_encoder = msgpack.Encoder()


@functools.cache
def _find_class(tag: int) -> type | None:
    """Return the class of messages with a tag, None if there is none."""
    name = _NAME_BY_TAG.get(tag)
    if name is None:
        return None
    if hasattr(messages, name):
        return getattr(messages, name)
    # Imported on first use: only entries exchange load reports, and processes that find each other
    # by seeds have no messages of shards.
    if name == "LoadReport":
        from flamingoramp.protocol import load_reports

        return load_reports.LoadReport
    from flamingoramp.protocol import shard_messages

    return getattr(shard_messages, name)


@attrs.define(eq=False)
class _Layout:
    """Encoding of the fields of one class.

    ``decoded_class`` has the same fields; the decoder builds its instances from arrays, and
    ``read_fields`` returns the values of the fields of either. ``numbers`` has the positions of
    floating-point numbers, ``number_lists`` those of lists of them and whether single precision
    suffices, ``records`` those of lists of records and the layout of the records.
    """

    message_class: type
    decoded_class: type
    read_fields: Callable[[Any], tuple]
    numbers: list[int]
    number_lists: list[tuple[int, bool]]
    records: list[tuple[int, _Layout]]


def _make_reader(names: list[str]) -> Callable[[Any], tuple]:
    if len(names) > 1:
        return operator.attrgetter(*names)
    read_only_value = operator.attrgetter(*names)
    return lambda instance: (read_only_value(instance),)


@functools.cache
def _get_layout(message_class: type) -> _Layout:
    """Return the layout of a class, which is made when it is first needed."""
    hints = typing.get_type_hints(message_class)
    fields: list[tuple[str, Any, Any]] = []
    numbers: list[int] = []
    number_lists: list[tuple[int, bool]] = []
    records: list[tuple[int, _Layout]] = []
    for position, attribute in enumerate(attrs.fields(message_class)):
        field_type = hints[attribute.name]
        if field_type is float:
            numbers.append(position)
        elif item_types := typing.get_args(field_type):
            item_type = item_types[0]
            if attrs.has(item_type):
                records.append((position, _get_layout(item_type)))
                item_type = records[-1][1].decoded_class
            elif item_type is float:
                is_single = attribute.metadata.get(messages.SINGLE_PRECISION, False)
                number_lists.append((position, is_single))
            list_type = tuple[_restrict(item_type), ...]
            field_type = typing.Annotated[list_type, msgspec.Meta(max_length=MAX_ITEMS)]
        fields.append((attribute.name, _restrict(field_type), attribute.default))
    names = [name for name, _, _ in fields]
    return _Layout(
        message_class=message_class,
        decoded_class=msgspec.defstruct(message_class.__name__, fields, array_like=True, gc=False),
        read_fields=_make_reader(names),
        numbers=numbers,
        number_lists=number_lists,
        records=records,
    )


def _restrict(field_type: Any) -> Any:
    return _UnsignedInteger if field_type is int else field_type


@functools.cache
def _get_decoder(message_class: type) -> msgpack.Decoder:
    """Return the decoder of the part of a frame after its first two bytes."""
    fields_class = _get_layout(message_class).decoded_class
    frame_class = msgspec.defstruct(
        "Frame",
        [("sender", str), ("clock", _UnsignedInteger), ("fields", fields_class)],
        array_like=True,
        gc=False,
    )
    return msgpack.Decoder(frame_class)


def _list_values(layout: _Layout, message: Any) -> list:
    """Return the values of a message's fields in the form in which they are sent."""
    values = list(layout.read_fields(message))
    for position in layout.numbers:
        values[position] = _WHOLE_NUMBERS.get(values[position], values[position])
    for position, is_single in layout.number_lists:
        if values[position]:
            values[position] = _encode_numbers(values[position], is_single)
    for position, item_layout in layout.records:
        values[position] = [_list_values(item_layout, item) for item in values[position]]
    return values


def _encode_numbers(numbers: tuple[float, ...], is_single: bool) -> msgspec.Raw:
    """Return the encoded array of floating-point numbers."""
    if is_single:
        marker, encode_number = _SINGLE_MARKER, _ENCODED_SINGLE.pack
    else:
        marker, encode_number = _DOUBLE_MARKER, _ENCODED_DOUBLE.pack
    find = _ENCODED_WHOLE_NUMBERS.get
    try:
        items = [find(number) or encode_number(marker, number) for number in numbers]
    except OverflowError:  # exceeds single precision
        return _encode_numbers(numbers, is_single=False)
    return msgspec.Raw(_ARRAY_HEADER.pack(_ARRAY_MARKER, len(items)) + b"".join(items))


def _build_message(layout: _Layout, decoded: Any) -> Any:
    """Build a message, or a record of one, from an instance of the layout's decoded class."""
    values = layout.read_fields(decoded)
    if layout.records:
        values = list(values)
        for position, item_layout in layout.records:
            values[position] = tuple([_build_message(item_layout, i) for i in values[position]])
    return layout.message_class(*values)


@attrs.frozen(eq=False, repr=False)
class Envelope(value_classes.Value):
    """A received message, its sender and the sender's hybrid logical clock."""

    sender: str
    clock: int
    message: Any


def encode(sender: str, message: Any, *, clock: int = 0) -> bytes:
    """Encode a message as a length-prefixed frame.

    Parameters
    ----------
    sender : str
        Name of the sending process.
    message : object
        Instance of a class of `messages`, `shard_messages` or `load_reports`.
    clock : int
        The sender's hybrid logical clock.

    Returns
    -------
    bytes
        Length of the frame as 4 bytes in big-endian order, then the frame.
    """
    payload = _encode_frame(sender, message, clock)
    return LENGTH_PREFIX.pack(len(payload)) + payload


def encode_datagram(message: Any) -> bytes:
    """Encode a message as one datagram, without length prefix.

    The sender's name is left empty, since the messages sent as datagrams identify their sender in
    their own fields.
    """
    return _encode_frame("", message, 0)


def _encode_frame(sender: str, message: Any, clock: int) -> bytes:
    message_class = type(message)
    header = _HEADER.pack(FORMAT, _TAG_BY_NAME[message_class.__name__])
    values = _list_values(_get_layout(message_class), message)
    return header + _encoder.encode((sender, clock, values))


def decode_datagram(data: bytes) -> Envelope:
    """Decode one datagram.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the bytes are not a valid frame, or more than `MAX_DATAGRAM_BYTES`.
    """
    return _decode(data, MAX_DATAGRAM_BYTES)


def decode(payload: bytes) -> Envelope:
    """Decode one frame, given without its length prefix.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the bytes are not a valid frame, or more than `MAX_FRAME_BYTES`.
    """
    return _decode(payload, MAX_FRAME_BYTES)


def _decode(data: bytes, max_bytes: int) -> Envelope:
    if not _HEADER.size <= len(data) <= max_bytes:
        raise errors.ProtocolError(
            f"cannot decode frame of {len(data)} bytes, takes {_HEADER.size} to {max_bytes} bytes"
        )
    frame_format, tag = _HEADER.unpack_from(data)
    if frame_format != FORMAT:
        raise errors.ProtocolError(
            f"cannot decode frame of format {frame_format}, takes format {FORMAT}: "
            "the sender runs another build; run the same build on all hosts"
        )
    message_class = _find_class(tag)
    if message_class is None:
        raise errors.ProtocolError(f"cannot decode frame: found no message with the tag {tag}")
    try:
        frame = _get_decoder(message_class).decode(memoryview(data)[_HEADER.size :])
        message = _build_message(_get_layout(message_class), frame.fields)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.ProtocolError(
            f"cannot decode {message_class.__name__} of {len(data)} bytes: {error}"
        ) from error
    return Envelope(frame.sender, frame.clock, message)


class FrameBuffer:
    """Splits the byte stream of a connection into frames."""

    def __init__(self):
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def feed(self, data: bytes, max_frames: int | None = None) -> list[bytes]:
        """Add received bytes.

        Parameters
        ----------
        data : bytes
        max_frames : int or None
            Number of frames to take out at most, so that others are left; None for all.

        Returns
        -------
        list of bytes
            Frames that are complete, without their length prefixes.

        Raises
        ------
        flamingoramp.errors.ProtocolError
            If a length prefix exceeds `MAX_FRAME_BYTES`.
        """
        self._data += data
        frames = []
        start = 0
        while len(self._data) - start >= LENGTH_PREFIX.size and len(frames) != max_frames:
            (length,) = LENGTH_PREFIX.unpack_from(self._data, start)
            if length > MAX_FRAME_BYTES:
                raise errors.ProtocolError(
                    f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
                )
            end = start + LENGTH_PREFIX.size + length
            if len(self._data) < end:
                break
            with memoryview(self._data) as view:
                frames.append(bytes(view[start + LENGTH_PREFIX.size : end]))
            start = end
        del self._data[:start]
        return frames
