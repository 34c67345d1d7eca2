"""HTTP server for callers, backend servers and operators, whose requests are those of werkzeug.

An event loop reads requests (`flamingoramp.http.server`), and a pool of threads handles those that
are complete. A handler returns a response, or returns None to detach the connection: another event
loop then streams the response over a duplicate of the socket, and the server closes only its own
handle.
"""

from __future__ import annotations

import io
import json
import socket
from collections.abc import Callable
from concurrent import futures
from typing import Any
from urllib import parse

import werkzeug

from flamingoramp import errors
from flamingoramp.http import exchanges, messages, server
from flamingoramp.runtime import byte_account, listeners
from flamingoramp.runtime import loop as loops

WORKER_THREADS = 16
MAX_HEADER_BYTES = 64 * 1024
READ_TIMEOUT_SECONDS = 10.0
BODY_TIMEOUT_SECONDS = 60.0
# Bodies of the largest size that all connections together may hold.
MAX_HELD_BODIES = 8
# A server that stops waits this long for callers to take their responses.
STOP_SECONDS = 2.0
STOP_CHECK_SECONDS = 0.02
# Headers that the connection sets itself.
_CONNECTION_HEADERS = frozenset({"content-length", "connection"})

Handler = Callable[[werkzeug.Request, socket.socket], werkzeug.Response | None]


def json_response(
    body: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> werkzeug.Response:
    """Return a response with a JSON body."""
    return werkzeug.Response(
        json.dumps(body), status=status, headers=headers, mimetype="application/json"
    )


def error_body(error: errors.FlamingorampError) -> dict[str, Any]:
    """Return the JSON document that describes an error to the client."""
    return {
        "error": {
            "code": error.code,
            "type": error.code,
            "message": str(error),
            "outcome": error.outcome.value,
            "retry_after": round(error.retry_after, 3),
        }
    }


def error_headers(error: errors.FlamingorampError) -> dict[str, str]:
    """Return the headers of an error response."""
    headers = {"Flamingoramp-Outcome": error.outcome.value}
    if error.retry_after:
        # Retry-After takes whole seconds; the body has the exact value.
        headers["Retry-After"] = str(max(1, round(error.retry_after)))
    if error.outcome is not errors.Outcome.NOT_RUN:
        headers["x-should-retry"] = "false"
    return headers


def error_response(error: errors.FlamingorampError) -> werkzeug.Response:
    """Return the response for an error, with its status, headers and JSON body."""
    return json_response(error_body(error), status=error.status, headers=error_headers(error))


def duplicate_socket(sock: socket.socket) -> socket.socket:
    """Return a non-blocking duplicate of a socket, which stays open when the original is closed."""
    duplicate = sock.dup()
    duplicate.setblocking(False)
    return duplicate


def _make_environment(request: messages.Request) -> dict[str, Any]:
    """Return the WSGI environment of a request."""
    headers: dict[str, str] = {}
    for name, value in request.headers:
        key = "HTTP_" + name.decode("latin-1").upper().replace("-", "_")
        text = value.decode("latin-1")
        headers[key] = f"{headers[key]},{text}" if key in headers else text
    host, _, port = headers.get("HTTP_HOST", "").partition(":")
    return {
        **headers,
        "REQUEST_METHOD": request.method.decode("latin-1"),
        "SCRIPT_NAME": "",
        "PATH_INFO": parse.unquote(request.path, "latin-1"),
        "QUERY_STRING": request.query,
        "CONTENT_TYPE": headers.get("HTTP_CONTENT_TYPE", ""),
        "CONTENT_LENGTH": str(len(request.body)),
        "SERVER_NAME": host,
        "SERVER_PORT": port or "80",
        "SERVER_PROTOCOL": "HTTP/1.1",
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body),
    }


def _make_refusal(status: int) -> messages.Response:
    """Return the response to a request that was refused before it was complete."""
    match status:
        case 413:
            error = errors.RequestTooLargeError("the request is too large")
        case 408 | 503:
            return messages.Response(status)
        case _:
            error = errors.BadRequestError("the request can't be read")
    return messages.json_response(error_body(error), status=status)


class HttpServer:
    """HTTP server that handles one request per connection.

    Parameters
    ----------
    listen : str
        ``ip:port``; port 0 selects a free port.
    handler : callable
        Called with a request and its socket; returns a response, or None to detach the connection.
    max_body_bytes : int
        Largest accepted request body.
    on_error : callable
        Called with each exception that is not a `FlamingorampError` or a failed read.
    listener : socket.socket or None
        Socket that listens on this address already; None to open one.
    """

    def __init__(
        self,
        listen: str,
        handler: Handler,
        *,
        max_body_bytes: int,
        on_error: Callable[[BaseException], None],
        listener: socket.socket | None = None,
    ):
        self._handler = handler
        self._on_error = on_error
        self._loop = loops.Loop(on_error=on_error)
        limits = exchanges.Limits(
            header_bytes=MAX_HEADER_BYTES,
            body_bytes=max_body_bytes,
            header_seconds=READ_TIMEOUT_SECONDS,
            body_seconds=BODY_TIMEOUT_SECONDS,
            idle_seconds=READ_TIMEOUT_SECONDS,
        )
        self._server = server.Server(
            self._loop,
            listen,
            self._handle_in_pool,
            limits=lambda: limits,
            listener=listener,
            on_error=on_error,
            account=byte_account.ByteAccount(MAX_HELD_BODIES * max_body_bytes, self._loop.now),
            max_connections=listeners.count_caller_descriptors,
            make_refusal=_make_refusal,
        )
        self._url = f"http://{self._server.address}"
        self._pool = futures.ThreadPoolExecutor(WORKER_THREADS, thread_name_prefix="http")

    @property
    def url(self) -> str:
        """Base URL of the server, with the port that it is bound to."""
        return self._url

    def start(self, executor: futures.Executor) -> futures.Future:
        """Serve in a thread of an executor, until `stop` is called."""
        return executor.submit(self._run)

    def stop(self) -> None:
        """Stop accepting connections and wait for requests in progress."""
        self._loop.post(self._server.stop_accepting)
        self._pool.shutdown(wait=True)
        self._loop.post(lambda: self._stop_once_delivered(self._loop.now() + STOP_SECONDS))

    def dispatch_request(
        self, request: werkzeug.Request, sock: socket.socket
    ) -> werkzeug.Response | None:
        """Call the handler; convert each exception to an error response."""
        request.max_form_memory_size = None
        try:
            return self._handler(request, sock)
        except errors.FlamingorampError as error:
            return error_response(error)
        except (OSError, werkzeug.exceptions.HTTPException):
            return error_response(errors.BadRequestError("the body can't be read"))
        except Exception as error:  # a failure in one request must not end the process
            self._on_error(error)
            return error_response(errors.FlamingorampError("internal error; see the log"))

    def _run(self) -> None:
        try:
            self._loop.run()
        finally:
            self._server.close()
            self._loop.close()

    def _stop_once_delivered(self, deadline: float) -> None:
        if self._server.undelivered_count and self._loop.now() < deadline:
            self._loop.call_later(STOP_CHECK_SECONDS, lambda: self._stop_once_delivered(deadline))
        else:
            self._loop.stop()

    def _handle_in_pool(self, exchange: exchanges.Exchange) -> None:
        try:
            self._pool.submit(self._handle, exchange)
        except RuntimeError:  # the pool was shut down
            exchange.respond(messages.Response(503))

    def _handle(self, exchange: exchanges.Exchange) -> None:
        try:
            request = werkzeug.Request(_make_environment(exchange.request))
            response = self.dispatch_request(request, exchange.socket)
            answer = None if response is None else _encode_response(response)
            self._loop.post(lambda: _finish(exchange, answer))
        except Exception as error:
            self._on_error(error)
            self._loop.post(exchange.abort)


def _encode_response(response: werkzeug.Response) -> messages.Response:
    headers = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
        if name.lower() not in _CONNECTION_HEADERS
    ]
    return messages.Response(
        response.status_code, (*headers, (b"connection", b"close")), response.get_data()
    )


def _finish(exchange: exchanges.Exchange, answer: messages.Response | None) -> None:
    """Send a response, or leave the connection to the handler's duplicate of its socket."""
    if answer is None:
        exchange.detach()
    else:
        exchange.respond(answer)
