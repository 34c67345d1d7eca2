"""HTTP towards callers, backend servers and operators, by werkzeug.

A pool of threads reads requests. A handler either returns a response, or takes the socket over for
a task that owns streaming sockets.
"""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable
from concurrent import futures
from typing import Any

import werkzeug
from werkzeug import serving

from flamingoramp import errors
from flamingoramp.runtime import transport as transports

WORKERS = 16
WAITING_CONNECTIONS_LIMIT = 512
READ_TIMEOUT_SECONDS = 10.0

Handler = Callable[[werkzeug.Request, socket.socket], werkzeug.Response | None]


def json_response(
    body: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> werkzeug.Response:
    """Make a response of a JSON document."""
    return werkzeug.Response(
        json.dumps(body), status=status, headers=headers, mimetype="application/json"
    )


def error_body(error: errors.FlamingorampError) -> dict[str, Any]:
    """Return the JSON body of an error."""
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
    """Return the headers of an error's response."""
    headers = {"Flamingoramp-Outcome": error.outcome.value}
    if error.retry_after:
        # Whole seconds for clients that know only these; the body has the exact figure.
        headers["Retry-After"] = str(max(1, round(error.retry_after)))
    if error.outcome is not errors.Outcome.NOT_RUN:
        headers["x-should-retry"] = "false"
    return headers


def error_response(error: errors.FlamingorampError) -> werkzeug.Response:
    """Make the response of an error."""
    return json_response(error_body(error), status=error.status, headers=error_headers(error))


def duplicate_socket(sock: socket.socket) -> socket.socket:
    """Return a second handle of a connection, which outlives the first."""
    copy = sock.dup()
    copy.setblocking(False)
    return copy


class _RequestHandler(serving.WSGIRequestHandler):
    timeout = READ_TIMEOUT_SECONDS

    def run_wsgi(self) -> None:
        """Answer the request, or leave the connection to the task that took it over."""
        self.close_connection = True
        request = werkzeug.Request(self.make_environ())
        response = self.server.respond(request, self.connection)
        if response is None:
            self.server.mark_taken(self.connection)
            return
        response.headers["Connection"] = "close"
        self.server.answer(self, response)

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write nothing: requests are counted."""

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Write nothing: requests are counted."""


class HttpServer(serving.BaseWSGIServer):
    """Accepts connections and has a pool of threads handle their requests.

    Parameters
    ----------
    listen : str
        ``ip:port``; port 0 takes a free one.
    handler : callable
        Takes a request and its socket; returns a response, or None if it took the socket over.
    max_body_bytes : int
    on_error : callable
        Takes an exception that the handler did not expect.
    """

    request_queue_size = 512

    def __init__(
        self,
        listen: str,
        handler: Handler,
        *,
        max_body_bytes: int,
        on_error: Callable[[BaseException], None],
    ):
        host, port = transports.parse_address(listen)
        super().__init__(host, port, app=None, handler=_RequestHandler)
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._on_error = on_error
        self._pool = futures.ThreadPoolExecutor(WORKERS, thread_name_prefix="http")
        self._taken: set[int] = set()
        self._waiting = 0
        self._lock = threading.Lock()

    @property
    def url(self) -> str:
        """Base URL of the server."""
        host, port = self.socket.getsockname()[:2]
        return f"http://{host}:{port}"

    def start(self, executor: futures.Executor) -> futures.Future:
        """Accept connections in a thread of an executor."""
        return executor.submit(self.serve_forever, 0.2)

    def stop(self) -> None:
        """Stop accepting and let requests in hand finish."""
        self.shutdown()
        self._pool.shutdown(wait=True)
        self.server_close()

    def respond(self, request: werkzeug.Request, sock: socket.socket) -> werkzeug.Response | None:
        """Handle a request; every failure becomes a typed answer."""
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
        except Exception as error:  # a fault of one request must not end the process
            self._on_error(error)
            return error_response(errors.FlamingorampError("internal error; see the log"))

    def answer(self, handler: _RequestHandler, response: werkzeug.Response) -> None:
        """Write a response."""
        environ = handler.make_environ()
        body, status, headers = response.get_wsgi_response(environ)
        data = b"".join(body)
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        try:
            handler.wfile.write(head + data)
        except OSError:
            return  # the caller went away

    def mark_taken(self, sock: socket.socket) -> None:
        """Note that another task owns a connection now."""
        with self._lock:
            self._taken.add(id(sock))

    def process_request(self, request: Any, client_address: Any) -> None:
        """Queue a connection for the pool; close it when too many wait."""
        with self._lock:
            full = self._waiting >= WAITING_CONNECTIONS_LIMIT
            self._waiting += not full
        if full:
            self.shutdown_request(request)
            return
        self._pool.submit(self._process, request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection, unless another task owns it."""
        with self._lock:
            taken = id(request) in self._taken
            self._taken.discard(id(request))
        if taken:
            self.close_request(request)
        else:
            super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that break while they are read."""

    def _process(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            pass  # the connection broke while it was read
        except Exception as error:
            self._on_error(error)
        finally:
            self.shutdown_request(request)
            with self._lock:
                self._waiting -= 1
