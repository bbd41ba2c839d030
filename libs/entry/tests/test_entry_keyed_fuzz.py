import asyncio
import collections
from collections.abc import Coroutine
from typing import Any

import entry_faults
import entry_processes
import hypothesis
from hypothesis import stateful  # noqa: WPS458 settings are no module.
from hypothesis import strategies as st
from returns import result

from jackdawlatch.entry import invalid_requests
from jackdawlatch.model import failures, work
from jackdawlatch.testing import functions

LOOP_ITERATIONS = 60
PROCESSES = ('e0', 'e1', 'e2')
BODIES = (b'one', b'one', b'one', b'two')
# About half of the draws are fault-free, so that requests also run to the end.
FAULTS = (*entry_faults.Fault, *(entry_faults.Fault.NONE,) * 5)
SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=250,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class KeyedMachine(  # noqa: WPS214 each rule is a method.
    stateful.RuleBasedStateMachine
):
    """Sends duplicates through several entries; each key must run once."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.Runner()
        self.shared = entry_processes.SharedState(self.record_run)
        self.clock = self.shared.clock
        self.runs_s_by_key: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.checks: list[asyncio.Task[None]] = []
        self.request_count = 0
        self.processes: dict[str, entry_processes.EntryProcess] = {}
        self._perform(self._start_all())

    def teardown(self) -> None:
        self.loop.close()

    def record_run(self, request: work.Request) -> None:
        """Record a run; a second one within the key window is a failure."""
        now_s = self.clock.wall_s()
        earlier_s = self.runs_s_by_key[request.key]
        assert all(ran_s + self.shared.window_s <= now_s for ran_s in earlier_s)
        earlier_s.append(now_s)

    @stateful.rule(
        process=st.sampled_from(PROCESSES),
        key=st.sampled_from(('k1', 'k1', 'k2')),
        body=st.sampled_from(BODIES),
        fault=st.sampled_from(FAULTS),
    )
    def arrive(
        self, process: str, key: str, body: bytes, fault: entry_faults.Fault
    ) -> None:
        self.processes[process].store.fault = fault
        self.request_count += 1
        request = work.Request(
            id=f'r{self.request_count}',
            kind=work.Kind(service='desk'),
            method='POST',
            path='/x',
            body=body,
            deadline_s=self.clock.wall_s() + 5 + 25 * (self.request_count % 2),
            key=key,
            idempotent=False,
        )
        self._perform(self._attend(self.processes[process], request))

    @stateful.rule(
        process=st.sampled_from(PROCESSES),
        ending=st.sampled_from(entry_processes.Ending),
    )
    def arrive_and_run(
        self, process: str, ending: entry_processes.Ending
    ) -> None:
        self.arrive(process, 'k1', b'one', entry_faults.Fault.NONE)
        for _ in range(2):
            if self.shared.pending_sends:
                self.go_on(len(self.shared.pending_sends) - 1, ending)

    @stateful.precondition(lambda machine: machine.shared.pending_sends)
    @stateful.rule(
        choice=st.integers(0, 100),
        ending=st.sampled_from(entry_processes.Ending),
    )
    def go_on(self, choice: int, ending: entry_processes.Ending) -> None:
        """Let one send start or end."""
        pending = self.shared.pending_sends.pop(
            choice % len(self.shared.pending_sends)
        )
        if pending.started and ending is entry_processes.Ending.REFUSED:
            ending = entry_processes.Ending.ANSWERED
        pending.resume.set_result(ending)
        self._settle()

    @stateful.rule(process=st.sampled_from(PROCESSES))
    def land(self, process: str) -> None:
        """Let late and stalled writes take effect."""
        self.processes[process].store.apply_delayed_writes()
        self._settle()

    @stateful.rule(process=st.sampled_from(PROCESSES))
    def flush(self, process: str) -> None:
        self.processes[process].store.fault = entry_faults.Fault.NONE
        self._perform(
            self._in_background(self.processes[process].keyed.flush())
        )

    @stateful.rule(process=st.sampled_from(PROCESSES))
    def kill(self, process: str) -> None:
        """Restart a process without its state; its sends end unanswered."""
        self.shared.pending_sends = [
            each
            for each in self.shared.pending_sends
            if each.process != process
        ]
        self._perform(self._start(process))

    @stateful.rule(seconds=st.sampled_from((1, 10, 40, 100)))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    async def _attend(
        self, process: entry_processes.EntryProcess, request: work.Request
    ) -> None:
        self.checks.append(asyncio.create_task(self._check(process, request)))

    async def _check(
        self, process: entry_processes.EntryProcess, request: work.Request
    ) -> None:
        outcome = await process.keyed.handle_request(request)
        if isinstance(outcome, result.Success):
            assert outcome.unwrap() == entry_processes.answer_to(request)
            assert self.runs_s_by_key[request.key]
            return
        failure = outcome.failure()
        if isinstance(failure, invalid_requests.KeyReused):
            return
        if not isinstance(failure, failures.OutcomeUnknown):
            # Reported as not run, so no duplicate may have run in the window.
            since_s = self.clock.wall_s() - self.shared.window_s
            assert all(
                ran_s <= since_s for ran_s in self.runs_s_by_key[request.key]
            ), failure

    async def _start_all(self) -> None:
        for name in PROCESSES:
            await self._start(name)

    async def _start(self, name: str) -> None:
        self.processes[name] = entry_processes.EntryProcess(name, self.shared)

    async def _in_background(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self.checks.append(asyncio.create_task(coroutine))

    def _perform(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.loop.run(coroutine)
        self._settle()

    def _settle(self) -> None:
        self.loop.run(_run_loop_iterations())
        done = [task for task in self.checks if task.done()]
        self.checks = [task for task in self.checks if not task.done()]
        for task in done:
            task.result()


async def _run_loop_iterations() -> None:
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)


async def test_key_is_run_at_most_once() -> None:
    await asyncio.to_thread(
        stateful.run_state_machine_as_test, KeyedMachine, settings=SETTINGS
    )


load_tests = functions.loader(__name__)
