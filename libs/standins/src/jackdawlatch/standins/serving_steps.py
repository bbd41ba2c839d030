"""Steps of the demo with requests to services."""

import asyncio
import uuid

from returns import result

from jackdawlatch.standins import bench, callers, oracle, steps, waiting

IN_FLIGHT_MS = 2000
STOP_S = 20.0
STARTED_S = 5.0


class Lookup(steps.Step):
    """A lookup is answered whole, by a runner, through every entry."""

    name = 'lookup'

    async def run(self, on: bench.Bench) -> steps.Checked:
        """Ask every entry once."""
        service = on.profile.services[0]
        told = await asyncio.gather(
            *(
                steps.ask_until_run(
                    on,
                    callers.Asked(
                        entry=entry,
                        path=f'/services/{service}/umbrellas/{number}?ms=5',
                        id=uuid.uuid4().hex,
                    ),
                )
                for number, entry in enumerate(on.caller.entries)
            )
        )
        wrong = [one for one in told if not one.is_own]
        if wrong:
            return steps.failed(f'no whole answer: {wrong[0]}')
        return result.Success(f'{len(told)} entries answered whole')


class Dispatch(steps.Step):
    """A non-idempotent request that is sent twice with its key runs once."""

    name = 'dispatch'

    async def run(self, on: bench.Bench) -> steps.Checked:
        """Send copies through two entries at once, and one more later."""
        service = on.profile.services[1]
        key = uuid.uuid4().hex
        copies = [
            callers.Asked(
                entry=entry,
                path=f'/services/{service}/pickups?ms=50',
                id=uuid.uuid4().hex,
                method='POST',
                key=key,
                body=b'{"umbrella": 7}',
            )
            for entry in on.caller.entries[:3]
        ]
        told = [
            *await asyncio.gather(
                *(steps.ask_until_run(on, copy) for copy in copies[:2])
            ),
            await steps.ask_until_run(on, copies[2]),
        ]
        runs = [
            one for one in oracle.requests_run(on.directory) if one.key == key
        ]
        if len(runs) != 1:
            return steps.failed(f'ran {len(runs)} times, not once')
        if len({one.body for one in told}) > 1 or not told[0].is_own:
            return steps.failed(f'copies were told differently: {told}')
        return result.Success(f'3 copies, 1 run, on {runs[0].host}')


class GracefulStop(steps.Step):
    """A stopped entry answers what is in flight, and takes no more."""

    name = 'graceful stop'

    async def run(self, on: bench.Bench) -> steps.Checked:
        """Stop the last entry with a request in flight."""
        name = on.driver.names('entry')[-1]
        asked = callers.Asked(
            entry=on.caller.entries[-1],
            path=f'/services/{on.profile.services[0]}/slow?ms={IN_FLIGHT_MS}',
            id=uuid.uuid4().hex,
        )
        flight = asyncio.create_task(on.caller.ask(asked))

        async def has_started() -> bool:
            runs = oracle.requests_run(on.directory)
            return any(run.id == asked.id for run in runs)

        if not await waiting.until(has_started, STARTED_S):
            return steps.failed('the request did not start')
        ended = await on.driver.stop(name, STOP_S)
        told = await flight
        status = on.driver.processes[name].exit_status
        if not told.is_own:
            return steps.failed(f'the request in flight was cut: {told}')
        if not ended or status:
            return steps.failed(f'{name} ended with {status}')
        again = await on.driver.start((name,))
        return again.map(lambda _: f'{name} answered in flight, status 0')
