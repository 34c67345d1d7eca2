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
