"""Demo steps that send requests to services."""

import asyncio
import uuid

from returns import result

from jackdawlatch.standins import callers, oracle, steps, testbed, waiting

IN_FLIGHT_MS = 2000
STOP_TIMEOUT_S = 20.0
START_TIMEOUT_S = 5.0


class Lookup(steps.Step):
    """A lookup through each entry is answered completely by a runner."""

    name = 'lookup'

    async def run(self, bed: testbed.Testbed) -> steps.StepResult:
        """Send one request through every entry."""
        service = bed.profile.services[0]
        calls = await asyncio.gather(
            *(
                steps.send_until_run(
                    bed,
                    callers.Request(
                        entry=entry,
                        path=f'/services/{service}/umbrellas/{number}?ms=5',
                        id=uuid.uuid4().hex,
                    ),
                )
                for number, entry in enumerate(bed.caller.entries)
            )
        )
        wrong = [one for one in calls if not one.matches_request]
        if wrong:
            return steps.failed(f'incomplete or wrong answer: {wrong[0]}')
        return result.Success(f'{len(calls)} entries answered completely')


class Dispatch(steps.Step):
    """Copies of a non-idempotent request with one key run once."""

    name = 'dispatch'

    async def run(self, bed: testbed.Testbed) -> steps.StepResult:
        """Send two copies at once and a third one later."""
        service = bed.profile.services[1]
        key = uuid.uuid4().hex
        copies = [
            callers.Request(
                entry=entry,
                path=f'/services/{service}/pickups?ms=50',
                id=uuid.uuid4().hex,
                method='POST',
                key=key,
                body=b'{"umbrella": 7}',
            )
            for entry in bed.caller.entries[:3]
        ]
        calls = [
            *await asyncio.gather(
                *(steps.send_until_run(bed, copy) for copy in copies[:2])
            ),
            await steps.send_until_run(bed, copies[2]),
        ]
        runs = [
            one
            for one in oracle.read_request_executions(bed.directory)
            if one.key == key
        ]
        if len(runs) != 1:
            return steps.failed(f'ran {len(runs)} times, not once')
        if len({one.body for one in calls}) > 1 or not calls[0].matches_request:
            return steps.failed(f'copies were answered differently: {calls}')
        return result.Success(f'3 copies, 1 run, on {runs[0].host}')


class GracefulStop(steps.Step):
    """An entry that is stopped answers its request in flight."""

    name = 'graceful stop'

    async def run(self, bed: testbed.Testbed) -> steps.StepResult:
        """Stop the last entry while it has a request in flight."""
        name = bed.driver.names('entry')[-1]
        request = callers.Request(
            entry=bed.caller.entries[-1],
            path=f'/services/{bed.profile.services[0]}/slow?ms={IN_FLIGHT_MS}',
            id=uuid.uuid4().hex,
        )
        flight = asyncio.create_task(bed.caller.send(request))

        async def has_started() -> bool:
            runs = oracle.read_request_executions(bed.directory)
            return any(run.id == request.id for run in runs)

        if not await waiting.until(has_started, START_TIMEOUT_S):
            return steps.failed(
                f'the request did not start within {START_TIMEOUT_S} s'
            )
        ended = await bed.driver.stop(name, STOP_TIMEOUT_S)
        call = await flight
        status = bed.driver.processes[name].exit_status
        if not call.matches_request:
            return steps.failed(
                f'the request in flight was not answered completely: {call}'
            )
        if not ended or status:
            return steps.failed(f'{name} ended with {status}')
        again = await bed.driver.start((name,))
        return again.map(
            lambda _: f'{name} answered the request in flight, status 0'
        )
