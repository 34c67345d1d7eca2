"""Tests of ownership that begins while others already act by it."""

from __future__ import annotations

import types
import unittest
from unittest import mock

import attrs

from flamingoramp.daemons import owned_shards as owners
from flamingoramp.intent import declarations
from flamingoramp.protocol import messages
from flamingoramp.runtime import settings

SHARD = "llm/0"
DECLARATION = declarations.Declaration(
    services=(declarations.ServiceDeclaration("llm"),),
    workspaces=(declarations.WorkspaceDeclaration("w"),),
)
ENGINE = messages.Announcement(
    server="s", service="llm", incarnation=1, sequence=1, url="http://s", zone="z",
    memory_tokens=1000, slots=8, prefill_rate=1000.0, models=("m@1",),
)  # fmt: skip
RESERVE = messages.Reserve(
    request_id="r", attempt=1, service="llm", shard=SHARD, workspace="w", model="m",
    prompt_tokens=10, output_tokens=1, remaining=10.0, entry="other", entry_address="other:1",
    fingerprint="f",
)  # fmt: skip
REPORT = messages.HoldReport("other", "other:1", SHARD, (), ("r",), True, ())


class OwnerCase(unittest.TestCase):
    """Gives each test an owner and collects what it sends."""

    def setUp(self):
        self.now = 100.0
        self.lease_until = 200.0
        self.sent: list = []
        self.session = types.SimpleNamespace(
            shards={},
            entries=(messages.EntryAddress("other", "http://other", "z", False),),
            declaration=DECLARATION,
            suspects=(),
            suspects_version=0,
            holds_lease=lambda now: now < self.lease_until,
        )
        process = mock.MagicMock()
        process.loop.now = lambda: self.now
        process.settings = settings.Settings("test")
        self.owner = owners.OwnedShards(
            process=process,
            session=self.session,
            identity="e#1",
            runner=mock.MagicMock(),
            send=lambda _address, message: self.sent.append(message),
            send_control=lambda _message: None,
            make_order_sender=lambda _loop, _done: mock.MagicMock(),
        )

    def become_owner(self) -> None:
        self.session.shards = {SHARD: messages.ShardOwner(SHARD, "e#1", "e:1", 1)}
        self.owner.update_ownership(self.now)

    def grants(self) -> list:
        return [one for one in self.sent if isinstance(one, messages.Grant)]


class TestEarlyMessages(OwnerCase):
    """What came just before an ownership began counts; older messages don't."""

    def test_early_report_and_request_are_served_at_once(self):
        for message in (ENGINE, REPORT, RESERVE):
            self.owner.handle(SHARD, message)
        self.now += 0.3
        self.become_owner()
        self.assertEqual([one.request_id for one in self.grants()], ["r"])

    def test_messages_grow_old(self):
        for message in (ENGINE, REPORT, RESERVE):
            self.owner.handle(SHARD, message)
        self.now += owners.EARLY_MESSAGE_RETENTION_SECONDS + 0.1
        self.become_owner()
        self.now += 5.0
        self.owner.tick()
        self.assertEqual(self.grants(), [])

    def test_without_reports_nothing_is_granted_at_first(self):
        for message in (ENGINE, RESERVE):
            self.owner.handle(SHARD, message)
        self.become_owner()
        self.assertEqual(self.grants(), [])


class TestFrozenOwner(OwnerCase):
    """An owner that wakes after its lease grants nothing, also before its next tick."""

    def test_grants_nothing_before_the_next_tick(self):
        self.owner.handle(SHARD, ENGINE)
        self.owner.handle(SHARD, REPORT)
        self.become_owner()
        self.now = self.lease_until + 1.0
        self.owner.handle(SHARD, attrs.evolve(ENGINE, sequence=2))
        self.owner.handle(SHARD, RESERVE)
        self.assertEqual(self.grants(), [])
