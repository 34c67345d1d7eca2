"""An acknowledged DELETE of an engine is forgotten if all processes are killed within a second."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import stand_ins  # noqa: E402

DRAIN_SECONDS = stand_ins.THRESHOLDS["drain_ms"] / 1000
CONTACT_SECONDS = stand_ins.THRESHOLDS["contact_ms"] / 1000
# "a little longer (at times many seconds)"
LINGER_SECONDS = 16.0
KILLED_AFTER_SECONDS = 0.1
DOWN_SECONDS = 0.5

CONFIGURATION = stand_ins.configuration(1, [stand_ins.route("/hold/", "desk", "idempotent")])


async def play(record: stand_ins.Record, has_trouble: bool) -> bool | None:
    """Return whether the rule held."""
    fleet = stand_ins.Fleet(record)
    arrivals: list[float] = []
    try:
        for machine in fleet.machines:
            machine.start(bootstrap=True)

        def _note(engine: stand_ins.Engine, _headers: dict[str, str], _body: bytes) -> None:
            if engine is engines[0]:
                arrivals.append(record.now())

        engines = [
            stand_ins.Engine(
                fleet,
                service="desk",
                number=number,
                zone=stand_ins.ZONES[number],
                on_arrival=_note,
            )
            for number in range(3)
        ]
        if not await fleet.configure(CONFIGURATION):
            return None
        for engine in engines:
            await engine.start()
        if not await fleet.wait_until_ready(fleet.entries):
            return None
        await asyncio.sleep(CONTACT_SECONDS + 2.0)
        for entry in fleet.entries:
            answer = await stand_ins.send_request(fleet, entry, "/hold/1", b"{}")
            if answer.status != 200:
                return None
        acknowledgement = await engines[0].deregister()
        if acknowledgement is None:
            return None
        _, acknowledged_at = acknowledgement
        await asyncio.sleep(KILLED_AFTER_SECONDS)
        if has_trouble:
            for machine in fleet.machines:
                machine.kill()
            await asyncio.sleep(DOWN_SECONDS)
            for machine in fleet.machines:
                machine.start()
        if not await fleet.wait_until_ready(fleet.entries):
            return None
        # All machines are in touch after this time.
        await asyncio.sleep(CONTACT_SECONDS + 2.0)
        judged_from = record.now()
        served = 0
        while record.now() < acknowledged_at + LINGER_SECONDS:
            for entry in fleet.entries:
                answer = await stand_ins.send_request(fleet, entry, "/hold/1", b"{}")
                served += answer.status == 200
            await asyncio.sleep(0.2)
        engines[0].stop()
        late = [at for at in arrivals if at > max(judged_from, acknowledged_at + DRAIN_SECONDS)]
        record.write(
            f"script: {served} requests served; {len(late)} reached the engine that had left, "
            f"up to {max(late, default=acknowledged_at) - acknowledged_at:.1f} s "
            "after its DELETE was acknowledged"
        )
        return not late if served else None
    finally:
        fleet.close()


stand_ins.run(play, FOLDER / "record.txt")
