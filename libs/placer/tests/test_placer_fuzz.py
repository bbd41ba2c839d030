import asyncio
from collections.abc import Iterable

import hypothesis
import placer_bench
from hypothesis import stateful  # noqa: WPS458 settings are no module.
from hypothesis import strategies as st
from returns import result

from jackdawlatch.model import work
from jackdawlatch.placement import buckets, drafts
from jackdawlatch.testing import functions

SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    database=None,
)
HOSTS = st.sampled_from(placer_bench.HOSTS)
FAULTS = st.sampled_from(('cut', 'reboot', 'break', 'mend'))


class PlacerMachine(stateful.RuleBasedStateMachine):
    """Two placers on one job registry, under faults.

    What the workers ran is checked after each step.
    """

    def __init__(self) -> None:
        super().__init__()
        self.bench = placer_bench.Bench()
        self.drafts_by_job: dict[str, drafts.Draft] = {}
        self.submitted = 0

    @stateful.rule(
        count=st.integers(1, 4),
        idempotent=st.booleans(),
        urgency=st.sampled_from(work.Urgency),
        processors=st.sampled_from((1, 3, 8)),
        command=st.sampled_from(
            ('run=0.2', 'run=3', 'run=40', 'run=3 outcome=crash')
        ),
    )
    def submit(self, count: int, **fields: object) -> None:
        draft = drafts.Draft(service='match', **fields)  # type: ignore[arg-type]
        for _ in range(count):
            self.submitted += 1
            kept = self.bench.run(
                self.bench.entry.submit(draft, 'desk', str(self.submitted))
            )
            if isinstance(kept, result.Success):
                self.drafts_by_job[kept.unwrap().id] = draft

    @stateful.precondition(lambda machine: machine.drafts_by_job)
    @stateful.rule(place=st.integers(0, 30))
    def cancel(self, place: int) -> None:
        ids = tuple(self.drafts_by_job)
        self.bench.run(self.bench.entry.cancel(ids[place % len(ids)]))

    @stateful.rule(seconds=st.integers(1, 15))
    def go_on(self, seconds: int) -> None:
        self.bench.tick(seconds)

    @stateful.rule(
        place=st.integers(0, 1),
        gate=st.integers(0, 2),
        seconds=st.sampled_from((1, 3, 8, 30, 60)),
    )
    def pause(self, place: int, gate: int, seconds: int) -> None:
        self.bench.pause(place, gate, seconds)

    @stateful.rule(place=st.integers(0, 1))
    def replace(self, place: int) -> None:
        self.bench.replace(place)

    @stateful.rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.bench.store.down = down

    @stateful.rule(store=st.booleans())
    def lose_reply(self, store: bool) -> None:
        if store:
            self.bench.store.lose_replies = 1
        else:
            self.bench.platform.lose_replies = 1

    @stateful.rule(host=HOSTS, harm=FAULTS)
    def harm(self, host: str, harm: str) -> None:
        model = self.bench.platform.models_by_address[host]
        if harm == 'cut':
            self.bench.platform.unreachable ^= {host}
        elif harm == 'reboot':
            model.forget()
        else:
            model.fails_everything = harm == 'break'

    @stateful.rule(place=st.integers(0, 2), step_s=st.integers(-3600, 3600))
    def step_clock(self, place: int, step_s: int) -> None:
        processes = self.bench.processes
        shifted_clocks = (
            *(one.clock for one in processes),
            self.bench.shifted_clock,
        )
        shifted_clocks[place].offset_s = step_s

    @stateful.invariant()
    def non_idempotent_jobs_start_once(self) -> None:
        for job_id, count in self.bench.runs.by_job().items():
            draft = self.drafts_by_job.get(job_id)
            assert count <= 1 or draft is None or draft.idempotent, job_id

    def teardown(self) -> None:
        """End all faults; every job that was stored must reach its end."""
        self.bench.store.down = False
        self.bench.platform.unreachable.clear()
        for model in self.bench.platform.models_by_address.values():
            model.fails_everything = False
        for _ in range(placer_bench.COMPLETION_TIMEOUT_S):
            if _unfinished(self.bench, self.drafts_by_job):
                self.bench.tick(1)
        self.non_idempotent_jobs_start_once()
        unfinished = _unfinished(self.bench, self.drafts_by_job)
        self.bench.close()
        assert not unfinished, unfinished


def _unfinished(
    bench: placer_bench.Bench, ids: Iterable[str]
) -> list[work.Job]:
    jobs_by_id = bench.jobs_by_id()
    lost = set(ids) - jobs_by_id.keys()
    assert not lost, 'jobs that were stored are missing'
    kept = [jobs_by_id[job_id] for job_id in ids]
    return [job for job in kept if job.state not in buckets.FINAL]


async def test_jobs_end_and_run_once_under_faults() -> None:
    await asyncio.to_thread(
        stateful.run_state_machine_as_test, PlacerMachine, settings=SETTINGS
    )


load_tests = functions.loader(__name__)
