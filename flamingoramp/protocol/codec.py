"""Encoding of messages as length-prefixed Cap'n Proto frames."""

from __future__ import annotations

import pathlib
import re
import struct
from typing import Any, get_args, get_type_hints

import attrs
import capnp

from flamingoramp import errors
from flamingoramp.protocol import messages

HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024

_schema = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


def _camel(name: str) -> str:
    return re.sub(r"_(\w)", lambda match: match.group(1).upper(), name)


@attrs.frozen
class _Field:
    """How one attribute is stored in the schema."""

    name: str
    stored: str
    nested: type | None
    is_list: bool


def _describe(kind: type) -> tuple[_Field, ...]:
    hints = get_type_hints(kind)
    fields = []
    for attribute in attrs.fields(kind):
        arguments = get_args(hints[attribute.name])
        nested = arguments[0] if arguments and attrs.has(arguments[0]) else None
        fields.append(_Field(attribute.name, _camel(attribute.name), nested, bool(arguments)))
    return tuple(fields)


_KINDS = {name: kind for name, kind in vars(messages).items() if attrs.has(kind)}
_FIELDS = {kind: _describe(kind) for kind in _KINDS.values()}
_UNION = {kind: name[0].lower() + name[1:] for name, kind in _KINDS.items()}
_BY_UNION = {union: kind for kind, union in _UNION.items()}


def _fill(target: Any, message: Any) -> None:
    """Set the fields of a builder one by one, which costs far less than a dictionary of them."""
    for field in _FIELDS[type(message)]:
        value = getattr(message, field.name)
        if not value:
            continue  # the schema's own default
        if field.nested is not None:
            items = target.init(field.stored, len(value))
            for position, item in enumerate(value):
                _fill(items[position], item)
        elif isinstance(value, tuple):
            setattr(target, field.stored, list(value))
        else:
            setattr(target, field.stored, value)


def _structure(kind: type, stored: Any) -> Any:
    """Read the fields of a kind in their order, which is also that of its constructor."""
    values = []
    for field in _FIELDS[kind]:
        value = getattr(stored, field.stored)
        if field.nested is not None:
            nested = field.nested
            value = tuple([_structure(nested, item) for item in value])
        elif field.is_list:
            value = tuple(value)
        values.append(value)
    return kind(*values)


@attrs.frozen
class Envelope:
    """A received message, its sender and the sender's hybrid logical clock."""

    sender: str
    clock: int
    message: Any


# Frames are full of zero bytes, which the packed encoding leaves out; these bound what they unpack
# to, in words of 8 bytes.
LARGEST_FRAME_WORDS = 2**26
LARGEST_DATAGRAM_WORDS = 2**20


def encode(sender: str, message: Any, *, clock: int = 0) -> bytes:
    """Encode a message with its length in front.

    Parameters
    ----------
    sender : str
        Name of the sending process.
    message : attrs class of `flamingoramp.protocol.messages`
        What to send.
    clock : int
        The sender's hybrid logical clock.

    Returns
    -------
    bytes
        Four bytes of length, then the frame.
    """
    payload = _build(sender, message, clock).to_bytes_packed()
    return HEADER.pack(len(payload)) + payload


def encode_datagram(message: Any) -> bytes:
    """Encode a message as one datagram.

    It carries no sender: what is sent as a datagram says itself whom it is from.
    """
    return _build("", message, 0).to_bytes_packed()


def _build(sender: str, message: Any, clock: int) -> Any:
    frame = _schema.Frame.new_message()
    frame.sender = sender
    frame.clock = clock
    _fill(frame.init(_UNION[type(message)]), message)
    return frame


def decode_datagram(data: bytes) -> Envelope:
    """Decode one datagram.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the bytes are no frame of the schema.
    """
    return _decode(data, LARGEST_DATAGRAM_WORDS)


def _read(frame: Any) -> Envelope:
    union = str(frame.which())
    message = _structure(_BY_UNION[union], getattr(frame, union))
    return Envelope(frame.sender, frame.clock, message)


def decode(payload: bytes) -> Envelope:
    """Decode one frame without its length.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the bytes are no frame of the schema.
    """
    return _decode(payload, LARGEST_FRAME_WORDS)


def _decode(data: bytes, largest_words: int) -> Envelope:
    """Decode a packed frame that unpacks to some words at most."""
    try:
        frame = _schema.Frame.from_bytes_packed(data, traversal_limit_in_words=largest_words)
        return _read(frame)
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError) as error:
        raise errors.ProtocolError(f"unreadable frame of {len(data)} bytes") from error


class FrameBuffer:
    """Collects the bytes of a connection and cuts them into frames."""

    def __init__(self):
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the frames that are whole."""
        self._data += data
        frames = []
        start = 0
        while len(self._data) - start >= HEADER.size:
            (length,) = HEADER.unpack_from(self._data, start)
            if length > MAX_FRAME_BYTES:
                raise errors.ProtocolError(f"frame of {length} bytes is over {MAX_FRAME_BYTES}")
            end = start + HEADER.size + length
            if len(self._data) < end:
                break
            frames.append(bytes(self._data[start + HEADER.size : end]))
            start = end
        del self._data[:start]
        return frames
