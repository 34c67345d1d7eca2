"""Backend servers of a soak, which record what they run."""

from __future__ import annotations

import time

from bench.fault_soak import callers
from bench.fault_soak import history as histories
from bench.fault_soak import plan as plans
from flamingoramp.http import exchanges, messages
from flamingoramp.platform.tests import fake_server


class SoakServer(fake_server.FakeServer):
    """Fake server that works on each request as long as the request says, and records it.

    Parameters
    ----------
    name, service, control_addresses, listen
        As of `fake_server.FakeServer`.
    history : histories.History
        Receives the runs.
    begin : float
        Monotonic time at which the history begins.
    """

    def __init__(
        self,
        name: str,
        service: str,
        control_addresses: list[str],
        *,
        listen: str,
        history: histories.History,
        begin: float,
    ):
        self._history = history
        self._begin = begin
        self._running_count = 0
        super().__init__(name, service, control_addresses, listen=listen)

    @property
    def is_working(self) -> bool:
        """Whether a request runs."""
        return self._running_count > 0

    def answer(self, exchange: exchanges.Exchange) -> None:
        """Work on a request of a caller and answer it."""
        request = exchange.request
        request_id = (request.header(b"x-attempt-id") or b"").decode()
        if not request_id:  # a health check
            exchange.respond(messages.Response(200, ((b"x-instance-id", self.name.encode()),)))
            return
        run = histories.Run(request_id, self.name, time.monotonic() - self._begin)
        run.is_unchanged = _is_unchanged(request, request_id)
        self._history.runs.append(run)
        self._running_count += 1
        exchange.on_disconnect = lambda: self._end(run)
        seconds, _, size = (request.header(b"x-work") or b"0:0").decode().partition(":")
        headers = (
            (b"x-attempt-id", request_id.encode()),
            (b"x-response-stamp", f"stamp-{self.name}".encode()),
        )
        if request.header(b"x-token-count") is None:
            body = callers.make_answer(request_id, int(size))

            def _respond() -> None:
                if not exchange.is_done:
                    exchange.respond(messages.Response(200, headers, body))
                    self._end(run)

            self._loop.call_later(float(seconds), _respond)
            return
        exchange.start(200, (*headers, (b"content-type", b"text/event-stream")))
        first_number = int(request.header(b"last-event-id") or b"0") + 1
        self._send_events(exchange, run, first_number, callers.count_events(float(seconds)))

    def _send_events(
        self, exchange: exchanges.Exchange, run: histories.Run, number: int, count: int
    ) -> None:
        if exchange.is_done:
            return
        if number > count:
            exchange.finish()
            self._end(run)
            return
        exchange.send(callers.make_event(run.request, number, count))
        self._loop.call_later(
            callers.EVENT_SECONDS, lambda: self._send_events(exchange, run, number + 1, count)
        )

    def _end(self, run: histories.Run) -> None:
        run.ended_at = time.monotonic() - self._begin
        self._running_count -= 1


def _is_unchanged(request: messages.Request, request_id: str) -> bool:
    """Whether body, prompt and workspace are those that a caller sends under this id."""
    form = plans.choose_form(request_id)
    if request.header(b"x-tenant") != plans.WORKSPACES[form.key][1]:
        return False
    if (request.header(b"x-prompt-prefix") or b"").decode() != form.prompt_parts:
        return False
    if request.method == b"GET":
        return not request.body
    count, rest = divmod(len(request.body), callers.PIECE_BYTES)
    expected = b"".join(callers.make_body(request_id, count))
    return count > 0 and not rest and request.body == expected
