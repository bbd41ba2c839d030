"""Random requests and jobs of callers, with all that they were told."""

import asyncio
import dataclasses
import random
import uuid

from jackdawlatch.standins import bench, callers, job_steps

CALLERS = 24
PAUSE_S = 0.05
MAX_MS = 200
COPIES = 3
COPY_S = 2.0
JOB_PAUSE_S = 0.4
TIMEOUT_S = 8.0
WELL_BEHAVED = 14
# Most requests end well; the others end in each way a runner may fail.
FAULTS = (
    *('',) * WELL_BEHAVED,
    'close',
    'close-reused',
    'half',
    'fail',
    'slow-body',
)
METHODS = ('GET', 'PUT', 'POST')


@dataclasses.dataclass
class Heard:
    """All that callers were told; jobs are those acknowledged."""

    told: list[callers.Told] = dataclasses.field(default_factory=list)
    submissions_by_job: dict[str, job_steps.Submission] = dataclasses.field(
        default_factory=dict
    )


class Traffic:
    """Callers that send until they are stopped."""

    def __init__(self, on: bench.Bench, rng: random.Random) -> None:
        self.heard = Heard()
        self._on = on
        self._rng = rng
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Send until stopped, and wait for the last answers."""
        await asyncio.gather(
            self._submit(), *(self._call() for _ in range(CALLERS))
        )

    def stop(self) -> None:
        """Send nothing new."""
        self._stopping.set()

    async def _call(self) -> None:
        while not self._stopping.is_set():
            asked = self._request()
            if asked.key:
                await self._ask_copies(asked)
            else:
                self.heard.told.append(await self._on.caller.ask(asked))
            await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    async def _ask_copies(self, asked: callers.Asked) -> None:
        """Send a keyed request and copies of it through any entry."""
        count = self._rng.randint(1, COPIES)
        copies = [self._copy(asked) for _ in range(count)]
        delays_s = [self._rng.uniform(0, COPY_S) for _ in copies]
        # The first copy goes out at once.
        delays_s[0] = 0
        self.heard.told.extend(
            await asyncio.gather(*map(self._ask_later, copies, delays_s))
        )

    async def _ask_later(
        self, asked: callers.Asked, delay_s: float
    ) -> callers.Told:
        await asyncio.sleep(delay_s)
        return await self._on.caller.ask(asked)

    def _copy(self, asked: callers.Asked) -> callers.Asked:
        return dataclasses.replace(
            asked, entry=self._on.caller.any_entry(), id=uuid.uuid4().hex
        )

    def _request(self) -> callers.Asked:
        service = self._rng.choice(self._on.profile.services)
        fault = self._rng.choice(FAULTS)
        duration_ms = self._rng.randint(0, MAX_MS)
        number = self._rng.randint(0, MAX_MS)
        method = self._rng.choice(METHODS)
        keyed = method == 'POST' and self._rng.choice((True, False))
        return callers.Asked(
            entry=self._on.caller.any_entry(),
            path=f'/services/{service}/{number}?ms={duration_ms}&fault={fault}',
            id=uuid.uuid4().hex,
            method=method,
            key=uuid.uuid4().hex if keyed else '',
            body=None if method == 'GET' else b'{}',
            timeout_s=TIMEOUT_S,
            headers=(('Priority', f'u={self._rng.randint(0, 7)}'),),
        )

    async def _submit(self) -> None:
        while not self._stopping.is_set():
            submission = job_steps.Submission(
                service=self._rng.choice(self._on.profile.services),
                team=self._rng.choice(self._on.profile.teams),
                command=f'run={self._rng.uniform(0, 2):.2f}',
                idempotent=self._rng.choice((True, False)),
            )
            told = await job_steps.submit(
                self._on, submission, self._on.caller.any_entry()
            )
            job = job_steps.answered(told)
            if job:
                self.heard.submissions_by_job[job.id] = submission
            await asyncio.sleep(self._rng.uniform(0, JOB_PAUSE_S))
