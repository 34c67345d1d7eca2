"""Tests of the rate of cold servers, kept by many entries together, in virtual time."""

from __future__ import annotations

import random
import types
import unittest

from hypothesis import Phase, example, given, settings, strategies

from flamingoramp.intent import traffic
from flamingoramp.protocol import messages
from flamingoramp.routing import warmup
from flamingoramp.routing.tests import test_statements

WINDOW_SECONDS = 1.0
# Time at which servers come back cold, and the time for which they are.
RETURN_AT_SECONDS = 4.0
COLD_SECONDS = 8.0
# Within which all entries are told of a server.
ANNOUNCEMENT_SPREAD_SECONDS = 0.3
# Longest way of a request to its server.
MAX_REQUEST_DELAY_SECONDS = 0.05
# Delay of each message of late ones; a count passes through up to three of them.
LATE_MESSAGE_SECONDS = 0.2
# Share of the tolerated rate that a cold server is to get under load.
FAIR_SHARE = 0.5

ZONES_OF_2 = {"a": 1, "b": 1}
ZONES_OF_9 = {"a": 3, "b": 3, "c": 3}
ZONES_OF_66 = {"a": 22, "b": 22, "c": 22}
ZONES_OF_112 = {"a": 38, "b": 37, "c": 37}
ZONES_OF_191 = {"a": 64, "b": 64, "c": 63}


class ColdDeployment(test_statements.Deployment):
    """A deployment to which some servers come back cold.

    Parameters
    ----------
    zone_sizes : dict of str to int
    rate : float
        Requests per second that a cold server tolerates.
    cold_count : int
        Servers that come back, all in the first zone.
    warm_count : int
        Servers that are warm all the time. Without any, the cold ones serve from the beginning and
        become cold, and requests count from when all entries were told.
    has_engines : bool
        Whether the servers are model engines, which `placement` chooses.
    options
        Those of `test_statements.Deployment`.
    """

    def __init__(
        self,
        zone_sizes: dict[str, int],
        *,
        rate: float,
        cold_count: int = 3,
        warm_count: int = 6,
        has_engines: bool = False,
        **options,
    ):
        random.seed(options["seed"])  # for the choices of the entries
        super().__init__(zone_sizes, warm_count or cold_count, **options)
        self.limit = warmup.WarmUpLimit(rate)
        self._has_engines = has_engines
        if has_engines:
            engine = traffic.EngineCostModel()
            self._declaration.find_service = lambda name: traffic.Service(name, engine=engine)
        prefix = "cold" if warm_count else "s"
        self.cold_servers = [f"{prefix}{n}" for n in range(cold_count)]
        self.zone = min(zone_sizes)
        self._counted_from = RETURN_AT_SECONDS + (not warm_count) * ANNOUNCEMENT_SPREAD_SECONDS
        self._delays = random.Random(options["seed"])

    def make_request(self) -> types.SimpleNamespace:
        """Return a request for the service: a short prompt if its servers are engines."""
        if not self._has_engines:
            return super().make_request()
        route = traffic.Route("r", "h", "/", latency_objective_seconds=0.5)
        caller = types.SimpleNamespace(prompt_tokens=2000, output_tokens=50)
        return types.SimpleNamespace(
            service="desk", caller=caller, route=route, time_limit_seconds=10.0
        )

    def return_servers(self) -> None:
        """Let the cold servers come back now; entries learn of it within a moment."""
        cold_until = self.loop.now() + COLD_SECONDS
        for entry in self.network.entries.values():
            self.loop.call_later(
                self._delays.uniform(0, ANNOUNCEMENT_SPREAD_SECONDS),
                lambda told=entry: self.tell(told, cold_until),
            )

    def tell(self, entry, cold_until: float) -> None:
        """Tell an entry of the cold servers."""
        now = self.loop.now()
        entry.loads.statements.set_contact(*entry.loads.contact_counts(now), now)
        for name in self.cold_servers:
            record = messages.ServerRecord(
                server=name, service="desk", address=name, zone=self.zone, born=1
            )
            self.servers(entry).update_server(record, now)
            entry.loads.statements.record_warm_up(record, self.limit, cold_until, now)

    def arrivals_of(self, server: str) -> list[float]:
        """Return the times at which requests arrived at a cold server."""
        end = RETURN_AT_SECONDS + COLD_SECONDS
        rng = random.Random(server)
        return sorted(
            time + rng.uniform(0, MAX_REQUEST_DELAY_SECONDS)
            for time in self.arrivals.get(server, ())
            if self._counted_from <= time < end
        )

    def most_in_second(self, server: str) -> int:
        """Return the largest number of requests that arrived at a cold server in one second."""
        times = self.arrivals_of(server)
        most = begin = 0
        for end, time in enumerate(times):
            while times[begin] <= time - WINDOW_SECONDS:
                begin += 1
            most = max(most, end - begin + 1)
        return most

    def used_share(self, server: str) -> float:
        """Return the part of the tolerated rate that a cold server got, after its first seconds."""
        begin = RETURN_AT_SECONDS + 2.0
        seconds = RETURN_AT_SECONDS + COLD_SECONDS - begin
        count = sum(time >= begin for time in self.arrivals_of(server))
        return count / (self.limit.rate * seconds)


class ColdServerCase(unittest.TestCase):
    """Base of tests in which servers come back cold."""

    def run_return(self, zone_sizes, *, burst_rate: float = 0.0, before=None, **options):
        deployment = ColdDeployment(zone_sizes, **options)
        deployment.loop.advance(RETURN_AT_SECONDS - deployment.loop.now())
        if before is not None:
            before(deployment)
        if burst_rate:
            deployment.request_rate = burst_rate
        deployment.return_servers()
        deployment.loop.advance(COLD_SECONDS)
        return deployment

    def check_kept(self, deployment: ColdDeployment) -> None:
        for server in deployment.cold_servers:
            most = deployment.most_in_second(server)
            self.assertLessEqual(most, deployment.limit.allowed_requests, server)

    def check_used(self, deployment: ColdDeployment) -> None:
        shares = [deployment.used_share(server) for server in deployment.cold_servers]
        self.assertGreaterEqual(sum(shares) / len(shares), FAIR_SHARE)


def silence(share: float):
    """Return a function that cuts a share of the entries of a deployment off from all others."""

    def _silence(deployment: ColdDeployment) -> None:
        names = sorted(deployment.network.entries)
        for name in names[:: round(1 / share)]:
            deployment.network.silence(name)

    return _silence


class TestReturnedZone(ColdServerCase):
    """Load pattern: the servers of a zone come back cold at once while all others are busy."""

    def check_rates(self, zone_sizes, rates, **options) -> None:
        for rate in rates:
            with self.subTest(entries=sum(zone_sizes.values()), rate=rate):
                deployment = self.run_return(zone_sizes, rate=rate, **options)
                self.check_kept(deployment)
                self.check_used(deployment)

    def test_two_entries_keep_rates_and_use_them(self):
        self.check_rates(ZONES_OF_2, (1, 5, 14, 40), request_rate=300.0, warm_count=1, seed=1)

    def test_nine_entries_keep_rates_and_use_them(self):
        self.check_rates(ZONES_OF_9, (1, 5, 14, 40), request_rate=300.0, warm_count=2, seed=1)

    def test_66_entries_keep_rates_and_use_them(self):
        self.check_rates(ZONES_OF_66, (1, 5, 14, 40), request_rate=300.0, warm_count=2, seed=1)

    def test_engines_of_few_entries_keep_rates_and_use_them(self):
        self.check_rates(
            ZONES_OF_9, (5, 14), request_rate=150.0, warm_count=1, seed=1, has_engines=True
        )

    def test_112_entries_keep_a_rate_while_a_fifth_of_the_reports_is_lost(self):
        self.check_rates(
            ZONES_OF_112, (14,), request_rate=300.0, warm_count=2, seed=1, loss_ratio=0.2
        )

    def test_191_entries_keep_a_rate_and_use_it(self):
        self.check_rates(ZONES_OF_191, (14,), request_rate=300.0, warm_count=2, seed=1)

    def test_lost_reports_do_not_add_requests(self):
        for loss_ratio in (0.03, 0.2):
            self.check_rates(
                ZONES_OF_66,
                (1, 14),
                request_rate=300.0,
                warm_count=2,
                seed=1,
                loss_ratio=loss_ratio,
            )

    def test_burst_that_begins_with_the_return_is_kept_off(self):
        for zone_sizes in (ZONES_OF_9, ZONES_OF_66):
            for rate in (1, 5, 14):
                with self.subTest(entries=sum(zone_sizes.values()), rate=rate):
                    deployment = self.run_return(
                        zone_sizes,
                        rate=rate,
                        request_rate=20.0,
                        burst_rate=600.0,
                        warm_count=2,
                        seed=2,
                    )
                    self.check_kept(deployment)

    def test_burst_is_kept_off_while_messages_are_late_and_lost(self):
        for zone_sizes in (ZONES_OF_9, ZONES_OF_66):
            for rate in (5, 14, 40):
                with self.subTest(entries=sum(zone_sizes.values()), rate=rate):
                    deployment = self.run_return(
                        zone_sizes,
                        rate=rate,
                        request_rate=20.0,
                        burst_rate=600.0,
                        warm_count=2,
                        seed=2,
                        loss_ratio=0.2,
                        message_delay_seconds=LATE_MESSAGE_SECONDS,
                    )
                    self.check_kept(deployment)


class TestAllServersCold(ColdServerCase):
    """Load pattern: all servers of a service are cold, and get several times what they take."""

    def test_rate_is_used_and_the_rest_is_refused_with_a_time(self):
        for zone_sizes in (ZONES_OF_2, ZONES_OF_9, ZONES_OF_66):
            for rate in (2, 14):
                with self.subTest(entries=sum(zone_sizes.values()), rate=rate):
                    deployment = self.run_return(
                        zone_sizes, rate=rate, request_rate=12.0 * rate, warm_count=0, seed=3
                    )
                    self.check_kept(deployment)
                    self.check_used(deployment)
                    self.assertTrue(deployment.refused_at)


class TestEntriesOutOfContact(ColdServerCase):
    """Failures: entries that are cut off from others, and entries that have just started."""

    def test_entries_that_are_cut_off_keep_the_rate_together(self):
        for zone_sizes in (ZONES_OF_2, ZONES_OF_9, ZONES_OF_66):
            for share in (0.1, 0.5, 1.0):
                for rate in (1, 14):
                    with self.subTest(entries=sum(zone_sizes.values()), share=share, rate=rate):
                        deployment = self.run_return(
                            zone_sizes,
                            rate=rate,
                            request_rate=300.0,
                            warm_count=2,
                            seed=4,
                            before=silence(share),
                        )
                        self.check_kept(deployment)

    def test_entries_that_start_during_the_return_keep_the_rate(self):
        late_starts = {
            f"{zone}{number:02}": RETURN_AT_SECONDS - 0.2 + 0.01 * number
            for zone in "abc"
            for number in range(20)
        }
        for rate in (1, 14):
            with self.subTest(rate=rate):
                deployment = self.run_return(
                    ZONES_OF_66,
                    rate=rate,
                    request_rate=300.0,
                    warm_count=2,
                    seed=5,
                    late_starts=late_starts,
                )
                self.check_kept(deployment)


class TestRandomDeployments(ColdServerCase):
    """Load pattern: any number of entries, rates, losses, loads and cut-off entries."""

    # Without shrinking, which takes minutes: the parameters say enough.
    @settings(
        max_examples=25,
        deadline=None,
        derandomize=True,
        phases=(Phase.explicit, Phase.generate),
    )
    @example(
        sizes=[1, 3],
        rate=14.0,
        request_rate=46.0,
        burst_factor=4.0,
        loss_ratio=0.0,
        cut_share=1.0,
        warm_count=0,
        seed=3,
    )
    @given(
        sizes=strategies.lists(strategies.integers(1, 16), min_size=1, max_size=3),
        rate=strategies.floats(1.0, 100.0),
        request_rate=strategies.floats(5.0, 300.0),
        burst_factor=strategies.floats(1.0, 5.0),
        loss_ratio=strategies.floats(0.0, 0.3),
        cut_share=strategies.sampled_from((0.0, 0.1, 0.3, 1.0)),
        warm_count=strategies.integers(0, 4),
        seed=strategies.integers(0, 1000),
    )
    def test_rate_is_kept(
        self, sizes, rate, request_rate, burst_factor, loss_ratio, cut_share, warm_count, seed
    ):
        deployment = self.run_return(
            dict(zip("abc", sizes, strict=False)),
            rate=rate,
            request_rate=request_rate,
            burst_rate=burst_factor * request_rate,
            loss_ratio=loss_ratio,
            warm_count=warm_count,
            seed=seed,
            before=silence(cut_share) if cut_share else None,
        )
        self.check_kept(deployment)


if __name__ == "__main__":
    unittest.main()
