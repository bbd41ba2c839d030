"""Random requests and jobs of callers, with a log of the answers."""

import asyncio
import dataclasses
import random
import uuid

from jackdawlatch.standins import callers, job_steps, testbed

CALLERS = 24
MAX_PAUSE_S = 0.05
MAX_DURATION_MS = 200
MAX_COPIES = 3
MAX_COPY_DELAY_S = 2.0
MAX_JOB_PAUSE_S = 0.4
TIMEOUT_S = 8.0
WITHOUT_FAULT = 14
# Most requests run without a fault; the rest cover each fault of a runner.
FAULTS = (
    *('',) * WITHOUT_FAULT,
    'close',
    'close-reused',
    'half',
    'fail',
    'slow-body',
)
METHODS = ('GET', 'PUT', 'POST')


@dataclasses.dataclass
class TrafficLog:
    """The requests with their outcomes, and the acknowledged jobs."""

    calls: list[callers.Call] = dataclasses.field(default_factory=list)
    submissions_by_job: dict[str, job_steps.Submission] = dataclasses.field(
        default_factory=dict
    )


class Traffic:
    """Callers that send requests and jobs until they are stopped."""

    def __init__(self, bed: testbed.Testbed, rng: random.Random) -> None:
        self.log = TrafficLog()
        self._bed = bed
        self._rng = rng
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Send until stopped, then wait for the outstanding answers."""
        await asyncio.gather(
            self._submit_jobs(),
            *(self._send_requests() for _ in range(CALLERS)),
        )

    def stop(self) -> None:
        """Send no more requests and jobs."""
        self._stopping.set()

    async def _send_requests(self) -> None:
        while not self._stopping.is_set():
            request = self._random_request()
            if request.key:
                await self._send_copies(request)
            else:
                self.log.calls.append(await self._bed.caller.send(request))
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    async def _send_copies(self, request: callers.Request) -> None:
        """Send a keyed request and duplicates of it through any entries."""
        delays_s = [
            self._rng.uniform(0, MAX_COPY_DELAY_S)
            for _ in range(self._rng.randint(0, MAX_COPIES - 1))
        ]
        # The first copy is sent without delay.
        copies = (
            self._send_later(request, delay_s) for delay_s in (0, *delays_s)
        )
        self.log.calls.extend(await asyncio.gather(*copies))

    async def _send_later(
        self, request: callers.Request, delay_s: float
    ) -> callers.Call:
        await asyncio.sleep(delay_s)
        # Choose the entry only now: a load balancer chooses on arrival.
        copy = dataclasses.replace(
            request, entry=self._bed.caller.choose_entry(), id=uuid.uuid4().hex
        )
        return await self._bed.caller.send(copy)

    def _random_request(self) -> callers.Request:
        service = self._rng.choice(self._bed.profile.services)
        fault = self._rng.choice(FAULTS)
        duration_ms = self._rng.randint(0, MAX_DURATION_MS)
        number = self._rng.randint(0, MAX_DURATION_MS)
        method = self._rng.choice(METHODS)
        keyed = method == 'POST' and self._rng.choice((True, False))
        return callers.Request(
            entry=self._bed.caller.choose_entry(),
            path=f'/services/{service}/{number}?ms={duration_ms}&fault={fault}',
            id=uuid.uuid4().hex,
            method=method,
            key=uuid.uuid4().hex if keyed else '',
            body=None if method == 'GET' else b'{}',
            timeout_s=TIMEOUT_S,
            headers=(('Priority', f'u={self._rng.randint(0, 7)}'),),
        )

    async def _submit_jobs(self) -> None:
        while not self._stopping.is_set():
            submission = job_steps.Submission(
                service=self._rng.choice(self._bed.profile.services),
                team=self._rng.choice(self._bed.profile.teams),
                command=f'run={self._rng.uniform(0, 2):.2f}',
                idempotent=self._rng.choice((True, False)),
            )
            call = await job_steps.submit(
                self._bed, submission, self._bed.caller.choose_entry()
            )
            job = job_steps.decode_job(call)
            if job:
                self.log.submissions_by_job[job.id] = submission
            await asyncio.sleep(self._rng.uniform(0, MAX_JOB_PAUSE_S))
