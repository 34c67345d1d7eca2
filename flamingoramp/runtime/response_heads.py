"""Heads of HTTP responses, as libcurl passes them line by line.

libcurl reports success if a server closes the connection in the middle of a head, after its first
line. Its callers check `ResponseHead.is_complete`.
"""

from __future__ import annotations

import re

import attrs

# Lower ones are of interim responses, which have heads of their own.
FIRST_FINAL_STATUS = 200
FIRST_ERROR_STATUS = 400
_STATUS_LINE = re.compile(rb"HTTP/\d(?:\.\d)? ([1-5]\d\d)(?: |\r?\n|$)")
_FRAMING_HEADER = re.compile(rb"(?:content-length|transfer-encoding)[ \t]*:", re.IGNORECASE)


@attrs.define
class ResponseHead:
    """Head of a response in progress.

    ``status`` is 0 until a status line arrives, and after one whose status isn't from 100 to 599.
    ``is_complete`` tells that the head has arrived which the last status line began.
    ``has_framed_body`` tells that the body doesn't end with the connection.
    """

    status: int = 0
    is_complete: bool = False
    has_framed_body: bool = False

    def handle_line(self, line: bytes) -> None:
        """Process a line of a head, also the blank one at its end."""
        if line.startswith(b"HTTP/"):
            match = _STATUS_LINE.match(line)
            self.status = int(match[1]) if match else 0
            self.is_complete = False
            self.has_framed_body = self.status in (204, 304)
        elif line in (b"\r\n", b"\n"):
            self.is_complete = self.status >= FIRST_FINAL_STATUS
        elif _FRAMING_HEADER.match(line):
            self.has_framed_body = True

    def is_whole(self, *, missing_request_bytes: float) -> bool:
        """Return whether a response that ended as libcurl expects it is a whole one.

        Parameters
        ----------
        missing_request_bytes : float
            Part of the request's body that was not sent. The end of a connection before that isn't
            the end of a success without a length.
        """
        is_error = self.status >= FIRST_ERROR_STATUS
        return self.is_complete and (self.has_framed_body or is_error or missing_request_bytes <= 0)
