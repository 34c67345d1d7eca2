"""Tests of `ControlClient` against control hosts that answer, refuse or don't respond."""

from __future__ import annotations

import json
import socket
import threading
import unittest

import werkzeug
from werkzeug import serving

from flamingoramp.cli import control_client
from flamingoramp.runtime import settings


class _QuietHandler(serving.WSGIRequestHandler):
    def log(self, *_: object) -> None:
        pass


class _FakeControlHost:
    """Control host that leads once it has received `leads_after` requests, by default never."""

    def __init__(self, *, leads_after: int | None = None):
        self._leads_after = leads_after
        self.received_paths: list[str] = []
        self._server = serving.make_server(
            "127.0.0.1", 0, self._respond, threaded=True, request_handler=_QuietHandler
        )
        self.port = self._server.server_port
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @werkzeug.Request.application
    def _respond(self, request: werkzeug.Request) -> werkzeug.Response:
        self.received_paths.append(request.path)
        leads = self._leads_after is not None and len(self.received_paths) > self._leads_after
        if request.path == "/v1/status":
            return werkzeug.Response(json.dumps({"leads": leads, "term": 1}))
        if leads:
            return werkzeug.Response(json.dumps({"plan": "1"}))
        error = {"code": "not_leader", "message": "", "retry_after": 0.1}
        return werkzeug.Response(json.dumps({"error": error}), status=503)

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


def _listen_without_answering() -> socket.socket:
    """Return a socket that accepts connections but never answers, like a suspended process."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


def _client(*ports: int) -> control_client.ControlClient:
    hosts = [
        settings.HostSettings(f"host-{number}", "zone-0", control_port=port, control_inner_port=1)
        for number, port in enumerate(ports)
    ]
    return control_client.ControlClient(settings.Settings("test", hosts))


class TestControlClient(unittest.TestCase):
    """The client finds the leader even if other control hosts don't respond."""

    def _start_host(self, **options) -> _FakeControlHost:
        host = _FakeControlHost(**options)
        self.addCleanup(host.close)
        return host

    def test_request_is_sent_again_until_a_responsive_host_leads(self):
        first, second = self._start_host(leads_after=2), self._start_host()
        unresponsive = _listen_without_answering()
        self.addCleanup(unresponsive.close)
        client = _client(first.port, second.port, unresponsive.getsockname()[1])
        self.assertEqual(client.request("POST", "/v1/plan", {}), {"plan": "1"})

    def test_unresponsive_first_host_does_not_block_request(self):
        unresponsive = _listen_without_answering()
        self.addCleanup(unresponsive.close)
        client = _client(unresponsive.getsockname()[1], self._start_host(leads_after=0).port)
        self.assertEqual(client.request("POST", "/v1/plan", {}), {"plan": "1"})

    def test_statuses_include_error_of_unresponsive_host(self):
        unresponsive = _listen_without_answering()
        self.addCleanup(unresponsive.close)
        client = _client(unresponsive.getsockname()[1], self._start_host(leads_after=0).port)
        failed, leads = client.fetch_statuses()
        self.assertEqual(failed["error"], "backend_failed")
        self.assertTrue(leads["leads"])
