"""Addresses that can't be bound at the start of a process; real processes."""

from __future__ import annotations

import contextlib
import signal
import socket
import time

from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import programs, test_process_ends
from flamingoramp.runtime import listeners

LISTENING_CHECK_SECONDS = 1.5


def split(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an ``ip:port``."""
    ip_address, _, port = address.rpartition(":")
    return ip_address, int(port)


def hold(kind: socket.SocketKind, address: str) -> socket.socket:
    """Hold an address as a predecessor or another program does."""
    if kind is socket.SOCK_STREAM:
        return socket.create_server(split(address))
    sock = socket.socket(socket.AF_INET, kind)
    sock.bind(split(address))
    return sock


def is_listening(address: str) -> bool:
    """Return whether a connection to an address is accepted."""
    with contextlib.suppress(OSError):
        socket.create_connection(split(address), timeout=1.0).close()
        return True
    return False


class TestHeldAddress(test_process_ends.ProgramTestCase):
    """One address of a process is in use when it starts."""

    # Guards against a process that ends since its predecessor, or another program, still holds one
    # of its addresses.
    def test_process_waits_for_each_of_its_addresses(self):
        for role in test_process_ends.ROLES:
            settings = self.make_settings(role)
            for kind, address in listeners.list_addresses(settings, role):
                with self.subTest(role=role, kind=kind, address=address):
                    self.close_programs()
                    with hold(kind, address):
                        program = self.start(role, settings)
                        waiting = program.wait_for_event("address.unavailable")
                        fleets.wait_for(
                            lambda program=program: len(program.events("address.unavailable")) > 1,
                            "a second line",
                        )
                        self.assert_serves_nothing(program, role, settings, address)
                    self.assertIn(address, waiting["address"])
                    self.assertEqual(waiting["text"], "Address already in use")
                    program.wait_for_event("start.listening")
                    program.process.send_signal(signal.SIGTERM)
                    self.assert_ended(program, 0, "stop")

    def assert_serves_nothing(
        self, program: programs.Program, role: str, settings: dict, held_address: str
    ) -> None:
        self.assertIsNone(program.process.poll(), program.errors)
        names = {line["event"] for line in program.log}
        self.assertEqual(names, {"address.unavailable"})
        for kind, address in listeners.list_addresses(settings, role):
            if kind is socket.SOCK_STREAM and address != held_address:
                self.assertFalse(is_listening(address), address)

    # Guards against requests that are reset by a process which waits for another address, and
    # listens at the callers' address for a moment each time that it tries.
    def test_waiting_process_never_listens_at_its_other_addresses(self):
        settings = self.make_settings("entry")
        address = settings["listen"]["callers"]
        with hold(socket.SOCK_STREAM, settings["listen"]["readiness"]):
            program = self.start("entry", settings)
            program.wait_for_event("address.unavailable")
            deadline = time.monotonic() + LISTENING_CHECK_SECONDS
            accepted_count = 0
            while time.monotonic() < deadline:
                accepted_count += is_listening(address)
        self.assertEqual(accepted_count, 0)

    # Guards against a second start that ends, or takes part, beside a predecessor that stops.
    def test_second_start_waits_for_the_end_of_its_predecessor(self):
        for role in test_process_ends.ROLES:
            with self.subTest(role):
                settings = self.make_settings(role)
                predecessor = self.start(role, settings)
                predecessor.wait_for_event("start.listening")
                successor = self.start(role, settings)
                successor.wait_for_event("address.unavailable")
                predecessor.process.send_signal(signal.SIGTERM)
                self.assert_ended(predecessor, 0, "stop")
                successor.wait_for_event("start.listening")
                self.assertIsNone(successor.process.poll())
                successor.process.send_signal(signal.SIGTERM)
                self.assert_ended(successor, 0, "stop")

    def test_inner_port_that_a_role_does_not_use_is_not_opened(self):
        for role, index in (("entry", 0), ("control", 1)):
            with self.subTest(role):
                settings = self.make_settings(role)
                other = f"{settings['address']}:{settings['inner_ports'][index]}"
                used = f"{settings['address']}:{settings['inner_ports'][1 - index]}"
                with (
                    hold(socket.SOCK_STREAM, other),
                    hold(socket.SOCK_DGRAM, other),
                    hold(socket.SOCK_STREAM if role == "entry" else socket.SOCK_DGRAM, used),
                ):
                    program = self.start(role, settings)
                    program.wait_for_event("start.listening")
                    self.assertEqual(program.events("address.unavailable"), [])
                    program.close()

    def test_signals_are_handled_while_a_process_waits(self):
        for role in test_process_ends.ROLES:
            with self.subTest(role):
                settings = self.make_settings(role)
                with hold(*listeners.list_addresses(settings, role)[0]):
                    program = self.start(role, settings)
                    program.wait_for_event("address.unavailable")
                    program.process.send_signal(signal.SIGHUP)
                    time.sleep(0.2)
                    self.assertIsNone(program.process.poll())
                    program.process.send_signal(signal.SIGTERM)
                    self.assert_ended(program, 0, "stop_during_start")


class TestMissingAddress(test_process_ends.ProgramTestCase):
    """Addresses that this host doesn't have, or that are none."""

    def make_settings_elsewhere(self, role: str) -> dict:
        settings = self.make_settings(role)
        # Reserved for documentation, so that no host has it.
        settings["listen"]["directory"] = f"192.0.2.1:{split(settings['listen']['directory'])[1]}"
        return settings

    # Guards against a wait without end, and an end that looks like any other error.
    def test_address_that_stays_missing_ends_a_process_with_a_status_of_its_own(self):
        begun = {
            role: self.start(role, self.make_settings_elsewhere(role))
            for role in test_process_ends.ROLES
        }
        began_at = time.monotonic()
        for program in begun.values():
            last = self.assert_ended(program, 3, "address")
            self.assertIn("192.0.2.1", last["text"])
            self.assertIn("Cannot assign requested address", last["text"])
            self.assertEqual(program.errors.count("\n"), 1)
            waits = len(program.events("address.unavailable"))
            self.assertAlmostEqual(waits, listeners.BIND_TIMEOUT_SECONDS, delta=2)
        self.assertGreater(time.monotonic() - began_at, listeners.BIND_TIMEOUT_SECONDS)

    # Guards against a wait for what can never be bound.
    def test_text_that_is_no_address_ends_a_process_at_once(self):
        for role in test_process_ends.ROLES:
            own = self.make_settings(role)["listen"]["directory"]
            for address in (
                "127.0.0.2",
                "127.0.0.2:",
                "127.0.0.2:70000",
                "nowhere:80",
                ":80",
                "127.0.0.256:80",
                "127.0.0.2:-1",
                own,
            ):
                with self.subTest(role=role, address=address):
                    settings = self.make_settings(role)
                    settings["listen"]["metrics"] = address
                    began_at = time.monotonic()
                    last = self.assert_ended(self.start(role, settings), 2, "settings")
                    self.assertIn(repr(address), last["text"])
                    self.assertLess(time.monotonic() - began_at, listeners.BIND_TIMEOUT_SECONDS)
