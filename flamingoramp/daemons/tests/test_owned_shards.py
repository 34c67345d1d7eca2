"""Tests of shard ownership: messages received before it begins, and a lapsed lease."""

from __future__ import annotations

import types
import unittest
from unittest import mock

import attrs

from flamingoramp.daemons import owned_shards
from flamingoramp.intent import declarations
from flamingoramp.protocol import shard_messages
from flamingoramp.runtime import settings

SHARD = "llm/0"
DECLARATION = declarations.Declaration(
    services=(declarations.ServiceDeclaration("llm"),),
    workspaces=(declarations.WorkspaceDeclaration("w"),),
)
ENGINE = shard_messages.Announcement(
    server="s", service="llm", incarnation=1, sequence=1, url="http://s", zone="z",
    memory_tokens=1000, slots=8, prefill_rate=1000.0, models=("m@1",),
)  # fmt: skip
RESERVE = shard_messages.Reserve(
    request_id="r", attempt=1, service="llm", shard=SHARD, workspace="w", model="m",
    prompt_tokens=10, output_tokens=1, remaining=10.0, entry="other", entry_address="other:1",
    fingerprint="f",
)  # fmt: skip
HOLD_REPORT = shard_messages.HoldReport("other", "other:1", SHARD, (), ("r",), True, ())


class OwnedShardsCase(unittest.TestCase):
    """Base of tests with one `OwnedShards`, whose messages to entries are collected."""

    def setUp(self):
        self.now = 100.0
        self.lease_until = 200.0
        self.sent_messages: list = []
        self.session = types.SimpleNamespace(
            shards={},
            entries=(shard_messages.EntryAddress("other", "http://other", "z", False),),
            declaration=DECLARATION,
            suspects=(),
            suspects_version=0,
            evacuated_zones=(),
            holds_lease=lambda now: now < self.lease_until,
        )
        process = mock.MagicMock()
        process.loop.now = lambda: self.now
        process.settings = settings.Settings("test")
        self.owned_shards = owned_shards.OwnedShards(
            process=process,
            session=self.session,
            identity="e#1",
            runner=mock.MagicMock(),
            send_to_entry=lambda _address, message: self.sent_messages.append(message),
            send_to_control=lambda _message: None,
            make_order_sender=lambda _loop, _on_result: mock.MagicMock(),
        )

    def begin_ownership(self) -> None:
        self.session.shards = {SHARD: shard_messages.ShardOwner(SHARD, "e#1", "e:1", 1)}
        self.owned_shards.update_ownership(self.now)

    def sent_grants(self) -> list:
        return [
            message for message in self.sent_messages if isinstance(message, shard_messages.Grant)
        ]


class TestEarlyMessages(OwnedShardsCase):
    """Messages received shortly before an ownership begins are handled once it does.

    Other processes may learn of the new owner before the owner does. Older messages are dropped.
    """

    def test_request_received_before_ownership_is_granted_when_it_begins(self):
        for message in (ENGINE, HOLD_REPORT, RESERVE):
            self.owned_shards.handle(SHARD, message)
        self.now += 0.3
        self.begin_ownership()
        self.assertEqual([grant.request_id for grant in self.sent_grants()], ["r"])

    def test_early_messages_older_than_retention_are_dropped(self):
        for message in (ENGINE, HOLD_REPORT, RESERVE):
            self.owned_shards.handle(SHARD, message)
        self.now += owned_shards.EARLY_MESSAGE_RETENTION_SECONDS + 0.1
        self.begin_ownership()
        self.now += 5.0
        self.owned_shards.tick()
        self.assertEqual(self.sent_grants(), [])

    def test_no_grant_is_sent_without_a_hold_report(self):
        for message in (ENGINE, RESERVE):
            self.owned_shards.handle(SHARD, message)
        self.begin_ownership()
        self.assertEqual(self.sent_grants(), [])


class TestLapsedLease(OwnedShardsCase):
    """An owner whose lease has lapsed grants nothing.

    A process that was suspended beyond its lease may handle messages before its next tick.
    """

    def test_lapsed_lease_denies_grants_before_next_tick(self):
        self.owned_shards.handle(SHARD, ENGINE)
        self.owned_shards.handle(SHARD, HOLD_REPORT)
        self.begin_ownership()
        self.now = self.lease_until + 1.0
        self.owned_shards.handle(SHARD, attrs.evolve(ENGINE, sequence=2))
        self.owned_shards.handle(SHARD, RESERVE)
        self.assertEqual(self.sent_grants(), [])
