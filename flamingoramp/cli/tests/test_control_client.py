"""Tests of operators' requests against control hosts that answer, refuse or stay silent."""

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


class _ControlHost:
    """Answers as a control replica; leads from a given number of requests on."""

    def __init__(self, *, leads_after: int | None = None):
        self._leads_after = leads_after
        self.asked: list[str] = []
        self._server = serving.make_server(
            "127.0.0.1", 0, self._respond, threaded=True, request_handler=_QuietHandler
        )
        self.port = self._server.server_port
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @werkzeug.Request.application
    def _respond(self, request: werkzeug.Request) -> werkzeug.Response:
        self.asked.append(request.path)
        leads = self._leads_after is not None and len(self.asked) > self._leads_after
        if request.path == "/v1/status":
            return werkzeug.Response(json.dumps({"leads": leads, "term": 1}))
        if leads:
            return werkzeug.Response(json.dumps({"plan": "1"}))
        error = {"code": "not_leader", "message": "", "retry_after": 0.1}
        return werkzeug.Response(json.dumps({"error": error}), status=503)

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


def _listen_silently() -> socket.socket:
    """Return a socket that accepts connections, as a frozen process does, and answers nothing."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


def _client(*ports: int) -> control_client.ControlClient:
    hosts = [
        settings.HostSettings(f"host-{n}", "zone-0", control_port=port, control_inner_port=1)
        for n, port in enumerate(ports)
    ]
    return control_client.ControlClient(settings.Settings("test", hosts))


class TestControlClient(unittest.TestCase):
    """The leader is found whichever other host is silent."""

    def _host(self, **options) -> _ControlHost:
        host = _ControlHost(**options)
        self.addCleanup(host.close)
        return host

    def test_frozen_leader_comes_last_and_another_leads_soon(self):
        first, second = self._host(leads_after=2), self._host()
        frozen = _listen_silently()
        self.addCleanup(frozen.close)
        client = _client(first.port, second.port, frozen.getsockname()[1])
        self.assertEqual(client.request("POST", "/v1/plan", {}), {"plan": "1"})

    def test_silent_host_comes_first(self):
        frozen = _listen_silently()
        self.addCleanup(frozen.close)
        client = _client(frozen.getsockname()[1], self._host(leads_after=0).port)
        self.assertEqual(client.request("POST", "/v1/plan", {}), {"plan": "1"})

    def test_status_lists_silent_hosts(self):
        frozen = _listen_silently()
        self.addCleanup(frozen.close)
        client = _client(frozen.getsockname()[1], self._host(leads_after=0).port)
        silent, leads = client.fetch_statuses()
        self.assertEqual(silent["error"], "backend_failed")
        self.assertTrue(leads["leads"])
