"""Parsing of JSON documents that other systems have sent."""

from __future__ import annotations

import json
import re
from collections.abc import Generator
from typing import Any

import msgspec

from flamingoramp import steps

_MEMBERS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_ELEMENTS_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
_MEMBER_START_PATTERN = re.compile(
    rb'[ \t\r\n]*[{,][ \t\r\n]*"([^"\\\x00-\x1f]*)"[ \t\r\n]*:[ \t\r\n]*'
)
_OBJECT_END_PATTERN = re.compile(rb"[ \t\r\n]*}[ \t\r\n]*")


def parse(document: str | bytes) -> Any:
    """Parse a document whose texts can all be encoded again.

    JSON can express code points that no encoding has (lone surrogates). Such a text would raise
    only when it is sent on, in another message than the one that brought it.

    Raises
    ------
    ValueError
        The document is not JSON, or a text in it can't be encoded.
    RecursionError
        The document is nested too deeply.
    """
    try:
        return msgspec.json.decode(document)
    except (msgspec.MsgspecError, UnicodeEncodeError, RecursionError):
        pass  # invalid, or one of the extensions that `json` accepts
    value = json.loads(document)
    escape = b"\\u" if isinstance(document, bytes) else "\\u"
    if escape in document:
        json.dumps(value, ensure_ascii=False).encode()
    return value


def split_object(document: bytes) -> dict[str, bytes]:
    """Split an object into its members, whose values are left as JSON texts.

    The values are only scanned for their ends; `parse` or `check_member` checks them.

    Raises
    ------
    ValueError
        The document is no object, is empty, or has a name that stands twice or is escaped. Such a
        document may still be one that `parse` accepts.
    """
    try:
        members = {name: bytes(raw) for name, raw in _MEMBERS_DECODER.decode(document).items()}
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    # Of a name that stands twice the decoder returns the last value, and the first was not scanned.
    position = 0
    for name, value in members.items():
        start = _MEMBER_START_PATTERN.match(document, position)
        if (
            start is None
            or start[1].decode() != name
            or not document.startswith(value, start.end())
        ):
            raise ValueError(f"member {name} isn't where its name is")
        position = start.end() + len(value)
    if _OBJECT_END_PATTERN.fullmatch(document, position) is None:
        raise ValueError("a name stands twice")
    return members


def check_member(text: bytes) -> None:
    """Check the text of a member from `split_object` without making its values.

    Raises
    ------
    ValueError
        The text is not UTF-8, which the scan for the end of the member doesn't check.
    """
    text.decode()


def split_array(document: bytes) -> list[bytes]:
    """Split an array into its elements, which are left as JSON texts.

    The elements are only scanned for their ends; `parse` checks them.

    Raises
    ------
    ValueError
        The document is no array.
    """
    return steps.run_all(split_array_in_steps(document))


def split_array_in_steps(document: bytes) -> Generator[None, None, list[bytes]]:
    """Do what `split_array` does, in short steps."""
    try:
        elements = _ELEMENTS_DECODER.decode(document)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    yield
    return list(map(bytes, elements))
