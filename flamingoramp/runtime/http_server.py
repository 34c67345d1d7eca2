"""HTTP server for callers, backend servers and operators, based on werkzeug.

A pool of threads reads and handles requests. A handler returns a response, or returns None to
detach the connection: an event loop then streams the response over a duplicate of the socket, and
the server closes only its own handle.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from collections.abc import Callable
from concurrent import futures
from typing import Any

import werkzeug
from werkzeug import serving

from flamingoramp import errors
from flamingoramp.runtime import transport

WORKER_THREADS = 16
MAX_PENDING_CONNECTIONS = 512
READ_TIMEOUT_SECONDS = 10.0

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


class _RequestHandler(serving.WSGIRequestHandler):
    timeout = READ_TIMEOUT_SECONDS

    def run_wsgi(self) -> None:
        """Handle one request; send the response unless the handler detached the connection."""
        self.close_connection = True
        request = werkzeug.Request(self.make_environ())
        response = self.server.dispatch_request(request, self.connection)
        if response is None:
            self.server.mark_detached(self.connection)
            return
        response.headers["Connection"] = "close"
        self.server.send_response(self, response)

    def log(self, type: str, message: str, *args: Any) -> None:
        """Suppress the access log; requests are counted in metrics instead."""

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Suppress the access log; requests are counted in metrics instead."""


class HttpServer(serving.BaseWSGIServer):
    """HTTP server that handles one request per connection in a pool of threads.

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

    request_queue_size = 512

    def __init__(
        self,
        listen: str,
        handler: Handler,
        *,
        max_body_bytes: int,
        on_error: Callable[[BaseException], None],
        listener: socket.socket | None = None,
    ):
        host, port = transport.parse_address(listen)
        # The server uses a duplicate of a given socket.
        with listener or contextlib.nullcontext():
            descriptor = listener.fileno() if listener else None
            super().__init__(host, port, app=None, handler=_RequestHandler, fd=descriptor)
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._on_error = on_error
        self._pool = futures.ThreadPoolExecutor(WORKER_THREADS, thread_name_prefix="http")
        self._detached: set[int] = set()
        self._pending_connections = 0
        self._lock = threading.Lock()

    @property
    def url(self) -> str:
        """Base URL of the server, with the port that it is bound to."""
        host, port = self.socket.getsockname()[:2]
        return f"http://{host}:{port}"

    def start(self, executor: futures.Executor) -> futures.Future:
        """Accept connections in a thread of an executor, until `stop` is called."""
        return executor.submit(self.serve_forever, 0.2)

    def stop(self) -> None:
        """Stop accepting connections and wait for requests in progress."""
        self.shutdown()
        self._pool.shutdown(wait=True)
        self.server_close()

    def dispatch_request(
        self, request: werkzeug.Request, sock: socket.socket
    ) -> werkzeug.Response | None:
        """Call the handler; convert each exception to an error response."""
        request.max_content_length = self._max_body_bytes
        request.max_form_memory_size = None
        try:
            if (request.content_length or 0) > self._max_body_bytes:
                raise errors.RequestTooLargeError(f"the body is over {self._max_body_bytes} bytes")
            return self._handler(request, sock)
        except errors.FlamingorampError as error:
            return error_response(error)
        except (OSError, werkzeug.exceptions.HTTPException):
            return error_response(errors.BadRequestError("the body can't be read"))
        except Exception as error:  # a failure in one request must not end the process
            self._on_error(error)
            return error_response(errors.FlamingorampError("internal error; see the log"))

    def send_response(self, request_handler: _RequestHandler, response: werkzeug.Response) -> None:
        """Write a response to its connection."""
        environ = request_handler.make_environ()
        body_parts, status, headers = response.get_wsgi_response(environ)
        body = b"".join(body_parts)
        header_lines = [f"HTTP/1.1 {status}"]
        header_lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(header_lines).encode("latin-1") + b"\r\n\r\n"
        try:
            request_handler.wfile.write(head + body)
        except OSError:
            return  # the client disconnected

    def mark_detached(self, sock: socket.socket) -> None:
        """Record that a connection is detached, so that it isn't shut down after its request."""
        with self._lock:
            self._detached.add(id(sock))

    def process_request(self, request: Any, client_address: Any) -> None:
        """Submit a connection to the thread pool; close it if too many are pending."""
        with self._lock:
            is_full = self._pending_connections >= MAX_PENDING_CONNECTIONS
            self._pending_connections += not is_full
        if is_full:
            self.shutdown_request(request)
            return
        self._pool.submit(self._process, request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Shut down and close a connection; if it is detached, close only the server's handle."""
        with self._lock:
            is_detached = id(request) in self._detached
            self._detached.discard(id(request))
        if is_detached:
            self.close_request(request)
        else:
            super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that fail while a request is read."""

    def _process(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            pass  # the connection failed while the request was read
        except Exception as error:
            self._on_error(error)
        finally:
            self.shutdown_request(request)
            with self._lock:
                self._pending_connections -= 1
