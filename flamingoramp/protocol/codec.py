"""Encoding of messages as Cap'n Proto frames: length-prefixed in streams, bare in datagrams."""

from __future__ import annotations

import pathlib
import re
import struct
from typing import Any, get_args, get_type_hints

import attrs
import capnp

from flamingoramp import errors
from flamingoramp.protocol import load_reports, messages

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024

_schema = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


def _to_camel_case(name: str) -> str:
    return re.sub(r"_(\w)", lambda match: match.group(1).upper(), name)


@attrs.frozen
class _Field:
    """Mapping of one attribute of a message class to its field in the schema.

    ``struct_class`` is the class of the items if the field is a list of structs.
    """

    name: str
    schema_name: str
    struct_class: type | None
    is_tuple: bool


def _list_fields(message_class: type) -> tuple[_Field, ...]:
    hints = get_type_hints(message_class)
    fields = []
    for attribute in attrs.fields(message_class):
        arguments = get_args(hints[attribute.name])
        struct_class = arguments[0] if arguments and attrs.has(arguments[0]) else None
        fields.append(
            _Field(attribute.name, _to_camel_case(attribute.name), struct_class, bool(arguments))
        )
    return tuple(fields)


_MESSAGE_CLASSES = {
    name: message_class
    for module in (messages, load_reports)
    for name, message_class in vars(module).items()
    if attrs.has(message_class)
}
_FIELDS_BY_CLASS = {
    message_class: _list_fields(message_class) for message_class in _MESSAGE_CLASSES.values()
}
_UNION_MEMBER_BY_CLASS = {
    message_class: name[0].lower() + name[1:] for name, message_class in _MESSAGE_CLASSES.items()
}
_CLASS_BY_UNION_MEMBER = {
    union_member: message_class for message_class, union_member in _UNION_MEMBER_BY_CLASS.items()
}


def _set_fields(builder: Any, message: Any) -> None:
    """Set the fields of a Cap'n Proto builder, which is much cheaper than passing a dictionary."""
    for field in _FIELDS_BY_CLASS[type(message)]:
        value = getattr(message, field.name)
        if not value:
            continue  # equal to the default in the schema
        if field.struct_class is not None:
            items = builder.init(field.schema_name, len(value))
            for position, item in enumerate(value):
                _set_fields(items[position], item)
        elif isinstance(value, tuple):
            setattr(builder, field.schema_name, list(value))
        else:
            setattr(builder, field.schema_name, value)


def _read_struct(message_class: type, reader: Any) -> Any:
    """Build a message from the fields of a reader, passed in the order of its constructor."""
    values = []
    for field in _FIELDS_BY_CLASS[message_class]:
        value = getattr(reader, field.schema_name)
        if field.struct_class is not None:
            struct_class = field.struct_class
            value = tuple([_read_struct(struct_class, item) for item in value])
        elif field.is_tuple:
            value = tuple(value)
        values.append(value)
    return message_class(*values)


@attrs.frozen
class Envelope:
    """A received message, its sender and the sender's hybrid logical clock."""

    sender: str
    clock: int
    message: Any


# Limits on the unpacked size, in words of 8 bytes. The packed encoding omits zero bytes, so a small
# frame can unpack to a very large one.
MAX_FRAME_WORDS = 2**26
MAX_DATAGRAM_WORDS = 2**20


def encode(sender: str, message: Any, *, clock: int = 0) -> bytes:
    """Encode a message as a length-prefixed frame.

    Parameters
    ----------
    sender : str
        Name of the sending process.
    message : object
        Instance of a class of `flamingoramp.protocol.messages`.
    clock : int
        The sender's hybrid logical clock.

    Returns
    -------
    bytes
        Length of the frame as 4 bytes in big-endian order, then the frame.
    """
    payload = _build_frame(sender, message, clock).to_bytes_packed()
    return LENGTH_PREFIX.pack(len(payload)) + payload


def encode_datagram(message: Any) -> bytes:
    """Encode a message as one datagram, without length prefix.

    The sender's name is left empty, since the messages sent as datagrams identify their sender in
    their own fields.
    """
    return _build_frame("", message, 0).to_bytes_packed()


def _build_frame(sender: str, message: Any, clock: int) -> Any:
    frame = _schema.Frame.new_message()
    frame.sender = sender
    frame.clock = clock
    _set_fields(frame.init(_UNION_MEMBER_BY_CLASS[type(message)]), message)
    return frame


def decode_datagram(data: bytes) -> Envelope:
    """Decode one datagram.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the bytes are not a valid frame, or unpack to more than `MAX_DATAGRAM_WORDS`.
    """
    return _decode(data, MAX_DATAGRAM_WORDS)


def _read_frame(frame: Any) -> Envelope:
    union_member = str(frame.which())
    message = _read_struct(_CLASS_BY_UNION_MEMBER[union_member], getattr(frame, union_member))
    return Envelope(frame.sender, frame.clock, message)


def decode(payload: bytes) -> Envelope:
    """Decode one frame, given without its length prefix.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the bytes are not a valid frame, or unpack to more than `MAX_FRAME_WORDS`.
    """
    return _decode(payload, MAX_FRAME_WORDS)


def _decode(data: bytes, max_words: int) -> Envelope:
    try:
        frame = _schema.Frame.from_bytes_packed(data, traversal_limit_in_words=max_words)
        return _read_frame(frame)
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError) as error:
        raise errors.ProtocolError(
            f"cannot decode frame of {len(data)} bytes: not a valid message of the schema"
        ) from error


class FrameBuffer:
    """Splits the byte stream of a connection into frames."""

    def __init__(self):
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes.

        Returns
        -------
        list of bytes
            The frames that are now complete, without their length prefixes.

        Raises
        ------
        flamingoramp.errors.ProtocolError
            If a length prefix exceeds `MAX_FRAME_BYTES`.
        """
        self._data += data
        frames = []
        start = 0
        while len(self._data) - start >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._data, start)
            if length > MAX_FRAME_BYTES:
                raise errors.ProtocolError(
                    f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
                )
            end = start + LENGTH_PREFIX.size + length
            if len(self._data) < end:
                break
            frames.append(bytes(self._data[start + LENGTH_PREFIX.size : end]))
            start = end
        del self._data[:start]
        return frames
