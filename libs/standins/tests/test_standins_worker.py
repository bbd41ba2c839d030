import hypothesis
from hypothesis import stateful  # noqa: WPS458 settings are no module.
from hypothesis import strategies as st
from returns import result

from jackdawlatch.backends import tasks, workers
from jackdawlatch.model import clocks, hosts
from jackdawlatch.standins import executions, worker_model
from jackdawlatch.testing import functions

IDS = st.sampled_from(('a:1', 'a:2', 'b:1', 'c:1'))
RUN_S = 4
LEASE_S = 3
CAPACITY = hosts.Capacity(processors=4, memory_mb=100)
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


def _model(clock: clocks.Clock, lag_s: float = 0) -> worker_model.WorkerModel:
    machine = worker_model.Machine('h1', CAPACITY, lag_s)
    return worker_model.WorkerModel(machine, clock, executions.ExecutionLog())


def _task(task_id: str, **options: str | float) -> tasks.Task:
    fields = {'processors': 1, 'memory_mb': 10, 'lease_s': LEASE_S, **options}
    return tasks.Task(id=task_id, **fields)


class WorkerMachine(stateful.RuleBasedStateMachine):
    """Compares a worker with a second-by-second simulation."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.ManualClock()
        self.model = _model(self.clock)
        self.remaining_s_by_id: dict[str, int] = {}
        self.lease_s_by_id: dict[str, int] = {}
        self.state_by_id: dict[str, tasks.TaskState] = {}

    @stateful.rule(task_id=IDS)
    def start(self, task_id: str) -> None:
        command = f'run={RUN_S}'
        started = self.model.start(_task(task_id, command=command)).unwrap()
        first = task_id not in self.state_by_id
        assert (started is workers.StartResult.NOW) is first
        if first:
            self.state_by_id[task_id] = tasks.TaskState.RUNNING
            self.remaining_s_by_id[task_id] = RUN_S
            self.lease_s_by_id[task_id] = LEASE_S

    @stateful.rule(task_id=IDS)
    def renew(self, task_id: str) -> None:
        renewal = tasks.Renewal(ids=(task_id,), lease_s=LEASE_S)
        unknown = self.model.renew(renewal).unknown
        assert (task_id in unknown) is (task_id not in self.state_by_id)
        self.lease_s_by_id[task_id] = LEASE_S

    @stateful.rule(task_id=IDS, checkpoint=st.booleans())
    def end(self, task_id: str, checkpoint: bool) -> None:
        state = tasks.TaskState.STOPPED
        act = self.model.stop
        if checkpoint:
            state = tasks.TaskState.CHECKPOINTED
            act = self.model.checkpoint
        ended = act(task_id)
        if self.state_by_id.get(task_id) is tasks.TaskState.RUNNING:
            self.state_by_id[task_id] = state
        expected = self.state_by_id.get(task_id)
        kept = expected if checkpoint else state
        gone = expected is None or (checkpoint and kept is not state)
        assert isinstance(ended, result.Failure) is gone

    @stateful.rule(seconds=st.integers(min_value=1, max_value=6))
    def pass_time(self, seconds: int) -> None:
        self.clock.advance(seconds)
        for _ in range(seconds):
            for task_id, state in self.state_by_id.items():
                if state is tasks.TaskState.RUNNING:
                    self._pass_second(task_id)

    @stateful.invariant()
    def agrees(self) -> None:
        reports = self.model.usage().tasks
        assert {one.id: one.state for one in reports} == self.state_by_id

    @stateful.invariant()
    def starts_no_id_twice(self) -> None:
        started = [one.id for one in self.model.executions.since(0)]
        assert len(started) == len(set(started))

    def _pass_second(self, task_id: str) -> None:
        self.remaining_s_by_id[task_id] -= 1
        self.lease_s_by_id[task_id] -= 1
        # A lease that expires just as the task finishes counts as expired.
        if not self.lease_s_by_id[task_id]:
            self.state_by_id[task_id] = tasks.TaskState.EXPIRED
        elif not self.remaining_s_by_id[task_id]:
            self.state_by_id[task_id] = tasks.TaskState.DONE


def test_worker_agrees_with_a_simulation() -> None:
    stateful.run_state_machine_as_test(WorkerMachine, settings=SETTINGS)


def test_throttled_task_resumes_from_its_checkpoint() -> None:
    clock = clocks.ManualClock()
    model = _model(clock)
    model.start(_task('a:1', command='run=10', lease_s=100)).unwrap()
    clock.advance(2)
    model.throttle('a:1', 0.5).unwrap()
    clock.advance(4)
    token = model.checkpoint('a:1').unwrap().checkpoint
    assert round(float(token) * 10) == 4
    again = _task('a:2', command='run=10', lease_s=100, checkpoint=token)
    model.start(again).unwrap()
    clock.advance(6)
    assert model.usage().tasks[1].state is tasks.TaskState.DONE


def test_throttled_task_is_done_later() -> None:
    clock = clocks.ManualClock()
    model = _model(clock)
    model.start(_task('a:1', command='run=2', lease_s=100)).unwrap()
    model.throttle('a:1', 0.5).unwrap()
    clock.advance(3)
    assert model.usage().tasks[0].state is tasks.TaskState.RUNNING
    clock.advance(1)
    assert model.usage().tasks[0].state is tasks.TaskState.DONE


def test_throttled_task_makes_room() -> None:
    model = _model(clocks.ManualClock())
    model.start(_task('a:1', processors=4)).unwrap()
    refused = model.start(_task('b:1', processors=2))
    assert isinstance(refused.failure(), workers.DoesNotFit)
    model.throttle('a:1', 0.5).unwrap()
    assert isinstance(model.start(_task('b:1', processors=2)), result.Success)


def test_use_beyond_the_declared_slows_or_fails_tasks() -> None:
    clock = clocks.ManualClock()
    model = _model(clock)
    model.start(_task('a:1', command='run=1 use=8', lease_s=9)).unwrap()
    clock.advance(1)
    assert round(model.usage().tasks[0].progress * 10) == 5
    model.start(_task('b:1', command='memory=1000')).unwrap()
    assert model.usage().tasks[1].reason == 'out of memory'


def test_usage_lags() -> None:
    clock = clocks.ManualClock()
    model = _model(clock, lag_s=2)
    model.start(_task('a:1')).unwrap()
    assert not model.usage().tasks
    clock.advance(2)
    assert model.usage().tasks[0].state is tasks.TaskState.RUNNING


def test_broken_worker_fails_every_task() -> None:
    model = _model(clocks.ManualClock())
    model.fails_everything = True
    model.start(_task('a:1')).unwrap()
    assert model.usage().tasks[0].state is tasks.TaskState.FAILED


load_tests = functions.loader(__name__)
