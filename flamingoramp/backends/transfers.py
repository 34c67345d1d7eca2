"""HTTP transfers to backend servers by pycurl, all in one loop.

Each transfer opens a connection of its own: libcurl would silently send a request again when a
connection that it kept open turns out to be dead.
"""

from __future__ import annotations

import enum
import selectors
from collections.abc import Callable

import attrs
import pycurl

from flamingoramp.runtime import loop as loops

CONNECT_TIMEOUT_MS = 1000
CHECK_SECONDS = 0.25


class TransferOutcome(enum.Enum):
    """How an HTTP transfer ended."""

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    UNREACHED = "unreached"
    BROKEN = "broken"
    SILENT = "silent"


@attrs.frozen
class HttpRequest:
    """An HTTP request.

    Parameters
    ----------
    url, method : str
    body : bytes
    headers : tuple of str
        Lines such as ``Content-Type: text/plain``.
    silence_seconds : float
        Time without a byte after which the transfer ends as silent; 0 for none.
    """

    url: str
    method: str = "POST"
    body: bytes = b""
    headers: tuple[str, ...] = ()
    idle_timeout_seconds: float = 0.0


@attrs.define
class Transfer:
    """A transfer in progress."""

    call: HttpRequest
    on_data: Callable[[bytes], None]
    on_end: Callable[[TransferOutcome, int], None]
    handle: pycurl.Curl
    heard: float
    status: int = 0
    content_type: str = ""
    cancelled: bool = False

    def take_header(self, line: bytes) -> None:
        """Read the status from the first line of a response's head."""
        if line.startswith(b"HTTP/"):
            self.status = int(line.split(maxsplit=2)[1])


class TransferClient:
    """All transfers of one task.

    Parameters
    ----------
    loop : loops.Loop
    """

    def __init__(self, loop: loops.Loop):
        self._loop = loop
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._timer: loops.Timer | None = None
        self._watched: set[int] = set()
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        loop.call_every(CHECK_SECONDS, self._check_silence)

    def __len__(self) -> int:
        return len(self._transfers)

    def start(
        self,
        call: HttpRequest,
        *,
        on_data: Callable[[bytes], None],
        on_end: Callable[[TransferOutcome, int], None],
    ) -> Transfer:
        """Begin a transfer.

        Parameters
        ----------
        call : Call
        on_data : callable
            Takes bytes of the response's body.
        on_end : callable
            Takes the ending and the HTTP status, 0 if none came; not called after `cancel`.
        """
        handle = pycurl.Curl()
        transfer = Transfer(call, on_data, on_end, handle, self._loop.now())
        self._set_options(handle, transfer)
        self._transfers[handle] = transfer
        self._multi.add_handle(handle)
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """End a transfer without a call to its ``on_end``."""
        if transfer.cancelled or transfer.handle not in self._transfers:
            return
        transfer.cancelled = True
        # libcurl doesn't allow a handle's removal from within its callbacks.
        self._loop.call_later(0, lambda: self._remove(transfer))

    def close(self) -> None:
        """End all transfers without a call to their ``on_end``."""
        for transfer in list(self._transfers.values()):
            self._remove(transfer)
        self._multi.close()

    def _set_options(self, handle: pycurl.Curl, transfer: Transfer) -> None:
        call = transfer.call
        handle.setopt(pycurl.URL, call.url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        handle.setopt(pycurl.HTTPHEADER, ["Expect:", *call.headers])
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            handle.setopt(pycurl.POSTFIELDS, call.body)
        if call.method == "HEAD":
            handle.setopt(pycurl.NOBODY, 1)
        handle.setopt(pycurl.HEADERFUNCTION, transfer.take_header)
        handle.setopt(pycurl.WRITEFUNCTION, lambda data: self._handle_data(transfer, data))

    def _handle_data(self, transfer: Transfer, data: bytes) -> None:
        transfer.heard = self._loop.now()
        if not transfer.cancelled:
            transfer.on_data(data)

    def _watch_socket(self, what: int, descriptor: int, _multi, _data) -> None:
        if what == pycurl.POLL_REMOVE:
            if descriptor in self._watched:
                self._watched.discard(descriptor)
                self._loop.unregister(descriptor)
            return
        events = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE

        def _act(ready: int) -> None:
            self._act(descriptor, ready)

        if descriptor in self._watched:
            self._loop.modify(descriptor, events, _act)
        else:
            self._watched.add(descriptor)
            self._loop.register(descriptor, events, _act)

    def _act(self, descriptor: int, ready: int) -> None:
        if descriptor not in self._watched:
            return
        mask = 0
        if ready & selectors.EVENT_READ:
            mask |= pycurl.CSELECT_IN
        if ready & selectors.EVENT_WRITE:
            mask |= pycurl.CSELECT_OUT
        self._multi.socket_action(descriptor, mask)
        self._collect()

    def _set_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = self._loop.call_later(timeout_ms / 1000, self._handle_timer)

    def _handle_timer(self) -> None:
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._collect()

    def _collect(self) -> None:
        while True:
            left, done, failed = self._multi.info_read()
            for handle in done:
                self._end(handle, TransferOutcome.COMPLETE)
            for handle, code, _text in failed:
                self._end(handle, _judge_failure(handle, code))
            if not left:
                return

    def _end(self, handle: pycurl.Curl, ending: TransferOutcome) -> None:
        transfer = self._transfers.get(handle)
        if transfer is None:
            return
        transfer.content_type = handle.getinfo(pycurl.CONTENT_TYPE) or ""
        self._remove(transfer)
        if not transfer.cancelled:
            transfer.on_end(ending, transfer.status)

    def _remove(self, transfer: Transfer) -> None:
        if self._transfers.pop(transfer.handle, None) is None:
            return
        self._multi.remove_handle(transfer.handle)
        transfer.handle.close()

    def _check_silence(self) -> None:
        now = self._loop.now()
        for handle, transfer in list(self._transfers.items()):
            limit = transfer.call.idle_timeout_seconds
            if limit and now - transfer.heard > limit:
                self._end(handle, TransferOutcome.IDLE_TIMEOUT)


def _judge_failure(handle: pycurl.Curl, code: int) -> TransferOutcome:
    if code in (pycurl.E_COULDNT_CONNECT, pycurl.E_URL_MALFORMAT):
        return TransferOutcome.NOT_SENT
    connected = handle.getinfo(pycurl.CONNECT_TIME) > 0
    if code == pycurl.E_OPERATION_TIMEDOUT and not connected:
        return TransferOutcome.CONNECT_TIMEOUT
    return TransferOutcome.BROKEN
