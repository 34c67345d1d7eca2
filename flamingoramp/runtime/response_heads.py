"""Heads of HTTP responses, as libcurl passes them line by line.

libcurl reports success if a server closes the connection in the middle of a head, after its first
line. Its callers check `ResponseHead.is_complete`.
"""

from __future__ import annotations

import attrs

# Lower ones are of interim responses, which have heads of their own.
FIRST_FINAL_STATUS = 200


@attrs.define
class ResponseHead:
    """Head of a response in progress.

    ``status`` is 0 until a status line arrives. ``is_complete`` tells that the head has arrived
    which the last status line began.
    """

    status: int = 0
    is_complete: bool = False

    def handle_line(self, line: bytes) -> None:
        """Process a line of a head, also the blank one at its end."""
        if line.startswith(b"HTTP/"):
            self.status = int(line.split(maxsplit=2)[1])
            self.is_complete = False
        elif line in (b"\r\n", b"\n"):
            self.is_complete = self.status >= FIRST_FINAL_STATUS
