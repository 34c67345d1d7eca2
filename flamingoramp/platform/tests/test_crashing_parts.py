"""End-to-end tests of a prompt part that crashes each engine that begins to answer it."""

from __future__ import annotations

import time
from concurrent import futures

from flamingoramp.platform.tests import fake_server
from flamingoramp.platform.tests import fleet as fleets

# Time after the fifth crash from which the part's requests are bounded; the platform's is the same.
CONTACT_SECONDS = 3.0
BOUNDED_CRASH_COUNT = 5
MAX_LATE_REQUESTS = 3
CRASHING_PART = b"dead01"
ENGINE_COUNT = 14
LOAD_SECONDS = 9.0
SOUND_REQUESTS_PER_SECOND = 20.0
CRASHING_REQUESTS_PER_SECOND = 3.0
# Sound answers of this time at the end of the load have to be whole.
SERVED_SECONDS = 3.0


class TestCrashingPart(fleets.FleetTestCase):
    """Requests that differ in all but one part of their prompts, which crashes engines."""

    def start_engines(self) -> tuple[fleets.Fleet, list[fake_server.FakeServer]]:
        """Start four entries and engines that the part crashes."""
        fleet = self.start_serving(entries=4)
        behaviour = {"event_interval_seconds": 0.05, "crash_part": CRASHING_PART}
        engines = [
            fleet.add_server(f"e{number}", "llm", fake_server.Behaviour(**behaviour))
            for number in range(ENGINE_COUNT)
        ]
        return fleet, engines

    def send_mixed_load(
        self, fleet: fleets.Fleet, *, sound_contents: int = 10**6
    ) -> list[fleets.Answer]:
        """Send sound and crashing requests to all entries by turns; return the sound answers.

        Both kinds share their caller and the first part of their prompts.

        Parameters
        ----------
        fleet : fleets.Fleet
        sound_contents : int
            Number of different contents of the sound requests.
        """
        started_at = time.monotonic()
        crashing_count = 0
        part_id = CRASHING_PART.decode()
        results = []
        with futures.ThreadPoolExecutor(fleets.LOAD_THREAD_COUNT) as pool:
            for number in range(int(SOUND_REQUESTS_PER_SECOND * LOAD_SECONDS)):
                due = number / SOUND_REQUESTS_PER_SECOND
                time.sleep(max(0.0, started_at + due - time.monotonic()))
                results.append(
                    pool.submit(
                        self.send,
                        fleet,
                        "stream",
                        address=fleet.caller_address(number % len(fleet.entries)),
                        body=b"sound %d" % (number % sound_contents),
                        x_prompt_prefix=f"5c{number % 3}:40,0{number}:900",
                    )
                )
                if due * CRASHING_REQUESTS_PER_SECOND >= crashing_count:
                    crashing_count += 1
                    pool.submit(
                        self.send,
                        fleet,
                        "stream",
                        address=fleet.caller_address(crashing_count % len(fleet.entries)),
                        body=b"crashing %d" % number,
                        x_prompt_prefix=f"5c{number % 3}:40,{part_id}:9,d{number}:900",
                    )
        return [result.result() for result in results]

    def check_served(self, answers: list[fleets.Answer]) -> None:
        """Check that the sound requests at the end of the load got whole answers."""
        later = answers[-int(SOUND_REQUESTS_PER_SECOND * SERVED_SECONDS) :]
        served = sum(answer.body == fleets.COMPLETE_STREAM for answer in later)
        self.assertGreaterEqual(served, 0.97 * len(later))

    # Guards against requests of one kind that crash engine after engine, since each of them differs
    # from all before in its content.
    def test_part_that_crashed_engines_reaches_no_further_ones(self):
        fleet, engines = self.start_engines()
        answers = self.send_mixed_load(fleet)
        crash_times = sorted(time for engine in engines for time in engine.crash_times)
        bounded_from = crash_times[:BOUNDED_CRASH_COUNT][-1] + CONTACT_SECONDS
        late = [
            time
            for engine in engines
            for request, time in zip(engine.requests, engine.arrival_times, strict=True)
            if CRASHING_PART in (request.header(b"x-prompt-prefix") or b"") and time > bounded_from
        ]
        self.assertLessEqual(len(late), MAX_LATE_REQUESTS, f"{len(crash_times)} crashes")
        self.check_served(answers)

    # Guards against a common content that is refused for crashes of engines that it shared with
    # another one, however many of its answers are sound.
    def test_common_content_on_crashing_engines_is_served(self):
        fleet, _ = self.start_engines()
        self.check_served(self.send_mixed_load(fleet, sound_contents=3))


class TestLongDocuments(fleets.FleetTestCase):
    """Requests about one document of very many parts, the first of which crashed engines."""

    PART_COUNT = 1000
    READER_COUNT = 12
    CHECK_INTERVAL_SECONDS = 0.05
    CHECK_COUNT = 60
    MAX_CHECK_SECONDS = 0.5

    # Guards against entries that answer nobody while they compare the parts of a prompt with those
    # of all prompts that crashed engines.
    def test_requests_of_other_routes_are_answered_meanwhile(self):
        fleet = self.start_serving(controls=1, entries=2)
        behaviour = {"event_interval_seconds": 0.05, "crash_part": CRASHING_PART}
        for number in range(6):
            fleet.add_server(f"e{number}", "llm", fake_server.Behaviour(**behaviour))
        fleet.add_server("d1", "desk")
        document = ",".join(f"{0x5C1E0000 + number:x}:45" for number in range(self.PART_COUNT))
        crashing = f"{document},{CRASHING_PART.decode()}:9,1:9"
        for _ in range(2):
            self.send(fleet, "stream", x_prompt_prefix=crashing)
        time.sleep(1.0)
        with futures.ThreadPoolExecutor(fleets.LOAD_THREAD_COUNT) as pool:
            readers = [
                pool.submit(
                    self.send,
                    fleet,
                    "stream",
                    address=fleet.caller_address(number % 2),
                    x_prompt_prefix=f"{document},f{number}:45",
                )
                for number in range(self.READER_COUNT)
            ]
            checks = []
            for number in range(self.CHECK_COUNT):
                checks.append(pool.submit(self.time_check, fleet, fleet.caller_address(number % 2)))
                time.sleep(self.CHECK_INTERVAL_SECONDS)
        seconds = [check.result() for check in checks]
        self.assertLess(max(seconds), self.MAX_CHECK_SECONDS)
        # The document itself is refused if it was in as many ends as the part is needed in.
        self.assertLessEqual({reader.result().status for reader in readers}, {200, 400})

    def time_check(self, fleet: fleets.Fleet, address: str) -> float:
        """Return the time that a request of another route takes."""
        began_at = time.monotonic()
        self.assertEqual(self.send(fleet, "read", address=address).status, 200)
        return time.monotonic() - began_at
