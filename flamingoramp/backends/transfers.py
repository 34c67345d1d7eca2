"""Event-driven HTTP client for backend servers, built on pycurl.

Each transfer opens a new connection: libcurl would silently send a request again if a connection
that it reuses turned out to be closed by the server.
"""

from __future__ import annotations

import enum
import selectors
from collections.abc import Callable

import attrs
import pycurl

from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import response_heads

CONNECT_TIMEOUT_MS = 1000
IDLE_CHECK_INTERVAL_SECONDS = 0.25


class TransferOutcome(enum.Enum):
    """How an HTTP transfer ended.

    ``COMPLETE``: the whole response arrived, whatever its status. ``NOT_SENT``: connecting failed,
    for example because the server refused it, or the URL is invalid. ``CONNECT_TIMEOUT``: no
    connection was established within ``CONNECT_TIMEOUT_MS``. ``BROKEN``: any other error; the
    server may have received the request, or its response is too long. ``IDLE_TIMEOUT``: no part of
    the response body arrived within the request's idle time-out.
    """

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    CONNECT_TIMEOUT = "unreached"
    BROKEN = "broken"
    IDLE_TIMEOUT = "silent"


@attrs.frozen
class HttpRequest:
    """An HTTP request.

    Parameters
    ----------
    url, method : str
    body : bytes
    headers : tuple of str or bytes
        Header lines such as ``Content-Type: text/plain``; text has to be ASCII.
    idle_timeout_seconds : float
        Time without a byte of the response body after which the transfer ends with
        ``TransferOutcome.IDLE_TIMEOUT``; 0 disables the time-out.
    max_body_bytes : int or None
        A longer response body ends the transfer with ``TransferOutcome.BROKEN``; None if
        ``on_data`` bounds it.
    """

    url: str
    method: str = "POST"
    body: bytes = b""
    headers: tuple[str | bytes, ...] = ()
    idle_timeout_seconds: float = 0.0
    max_body_bytes: int | None = None


@attrs.define
class Transfer:
    """A transfer in progress.

    ``last_received_at`` is the loop's time when the last part of the response body arrived, and the
    time of the start before that. ``content_type`` is set at the end.
    """

    request: HttpRequest
    on_data: Callable[[bytes], None]
    on_end: Callable[[TransferOutcome, int], None]
    handle: pycurl.Curl
    last_received_at: float
    head: response_heads.ResponseHead = attrs.field(factory=response_heads.ResponseHead)
    content_type: str = ""
    cancelled: bool = False
    body_bytes: int = 0

    @property
    def status(self) -> int:
        """Status of the response; 0 until a status line arrives."""
        return self.head.status


class TransferClient:
    """Runs HTTP transfers concurrently in one event loop.

    Parameters
    ----------
    loop : loops.Loop
    """

    def __init__(self, loop: loops.Loop):
        self._loop = loop
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._update_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._timer: loops.Timer | None = None
        self._registered_descriptors: set[int] = set()
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        loop.call_every(IDLE_CHECK_INTERVAL_SECONDS, self._check_idle_timeouts)

    def __len__(self) -> int:
        return len(self._transfers)

    def start(
        self,
        request: HttpRequest,
        *,
        on_data: Callable[[bytes], None],
        on_end: Callable[[TransferOutcome, int], None],
    ) -> Transfer:
        """Start a transfer and return it.

        Parameters
        ----------
        request : HttpRequest
        on_data : callable
            Called with each received part of the response body.
        on_end : callable
            Called with the outcome and the HTTP status, which is 0 if no status line arrived; not
            called after `cancel`.
        """
        handle = pycurl.Curl()
        transfer = Transfer(request, on_data, on_end, handle, self._loop.now())
        self._set_options(handle, transfer)
        self._transfers[handle] = transfer
        self._multi.add_handle(handle)
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Stop a transfer without calling its ``on_end``; no effect if it has ended."""
        if transfer.cancelled or transfer.handle not in self._transfers:
            return
        transfer.cancelled = True
        # libcurl does not allow its callbacks to remove a handle.
        self._loop.call_later(0, lambda: self._remove(transfer))

    def close(self) -> None:
        """Stop all transfers without calling their ``on_end`` and free the client."""
        for transfer in list(self._transfers.values()):
            self._remove(transfer)
        self._multi.close()

    def _set_options(self, handle: pycurl.Curl, transfer: Transfer) -> None:
        request = transfer.request
        handle.setopt(pycurl.URL, request.url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        handle.setopt(pycurl.HTTPHEADER, ["Expect:", *request.headers])
        handle.setopt(pycurl.CUSTOMREQUEST, request.method)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            handle.setopt(pycurl.POSTFIELDS, request.body)
        if request.method == "HEAD":
            handle.setopt(pycurl.NOBODY, 1)
        handle.setopt(pycurl.HEADERFUNCTION, transfer.head.handle_line)
        handle.setopt(pycurl.WRITEFUNCTION, lambda data: self._handle_data(transfer, data))

    def _handle_data(self, transfer: Transfer, data: bytes) -> int:
        """Pass a part of the body on; return the bytes that were taken, 0 to end the transfer."""
        transfer.last_received_at = self._loop.now()
        transfer.body_bytes += len(data)
        limit = transfer.request.max_body_bytes
        if transfer.cancelled or (limit is not None and transfer.body_bytes > limit):
            return 0
        transfer.on_data(data)
        return len(data)

    def _update_socket(self, poll_action: int, descriptor: int, _multi, _data) -> None:
        if poll_action == pycurl.POLL_REMOVE:
            if descriptor in self._registered_descriptors:
                self._registered_descriptors.discard(descriptor)
                self._loop.unregister(descriptor)
            return
        event_mask = 0
        if poll_action in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            event_mask |= selectors.EVENT_READ
        if poll_action in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            event_mask |= selectors.EVENT_WRITE

        def _handle_events(ready_events: int) -> None:
            self._handle_socket_events(descriptor, ready_events)

        if descriptor in self._registered_descriptors:
            self._loop.modify(descriptor, event_mask, _handle_events)
        else:
            self._registered_descriptors.add(descriptor)
            self._loop.register(descriptor, event_mask, _handle_events)

    def _handle_socket_events(self, descriptor: int, ready_events: int) -> None:
        if descriptor not in self._registered_descriptors:
            return
        action_mask = 0
        if ready_events & selectors.EVENT_READ:
            action_mask |= pycurl.CSELECT_IN
        if ready_events & selectors.EVENT_WRITE:
            action_mask |= pycurl.CSELECT_OUT
        self._multi.socket_action(descriptor, action_mask)
        self._finish_ended_transfers()

    def _set_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = self._loop.call_later(timeout_ms / 1000, self._handle_timer)

    def _handle_timer(self) -> None:
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_ended_transfers()

    def _finish_ended_transfers(self) -> None:
        while True:
            remaining, completed, failed = self._multi.info_read()
            for handle in completed:
                self._finish(handle, self._classify_completed(handle))
            for handle, error_code, _message in failed:
                self._finish(handle, _classify_error(handle, error_code))
            if not remaining:
                return

    def _classify_completed(self, handle: pycurl.Curl) -> TransferOutcome:
        transfer = self._transfers.get(handle)
        if transfer is None:
            return TransferOutcome.COMPLETE
        missing_bytes = len(transfer.request.body) - handle.getinfo(pycurl.SIZE_UPLOAD)
        is_whole = transfer.head.is_whole(missing_request_bytes=missing_bytes)
        return TransferOutcome.COMPLETE if is_whole else TransferOutcome.BROKEN

    def _finish(self, handle: pycurl.Curl, outcome: TransferOutcome) -> None:
        transfer = self._transfers.get(handle)
        if transfer is None:
            return
        content_type = handle.getinfo_raw(pycurl.CONTENT_TYPE) or b""
        transfer.content_type = content_type.decode("latin-1")
        self._remove(transfer)
        if not transfer.cancelled:
            transfer.on_end(outcome, transfer.status)

    def _remove(self, transfer: Transfer) -> None:
        if self._transfers.pop(transfer.handle, None) is None:
            return
        self._multi.remove_handle(transfer.handle)
        transfer.handle.close()

    def _check_idle_timeouts(self) -> None:
        now = self._loop.now()
        for handle, transfer in list(self._transfers.items()):
            timeout = transfer.request.idle_timeout_seconds
            if timeout and now - transfer.last_received_at > timeout:
                self._finish(handle, TransferOutcome.IDLE_TIMEOUT)


def _classify_error(handle: pycurl.Curl, error_code: int) -> TransferOutcome:
    if error_code in (pycurl.E_COULDNT_CONNECT, pycurl.E_URL_MALFORMAT):
        return TransferOutcome.NOT_SENT
    has_connected = handle.getinfo(pycurl.CONNECT_TIME) > 0
    if error_code == pycurl.E_OPERATION_TIMEDOUT and not has_connected:
        return TransferOutcome.CONNECT_TIMEOUT
    return TransferOutcome.BROKEN
