"""Concurrent edits under store faults, checked against the versions written."""

import asyncio

import hypothesis
from hypothesis import stateful  # noqa: WPS458 settings are no module.
from hypothesis import strategies as st
from returns import result

from jackdawlatch.config import editor, edits, outcomes
from jackdawlatch.model import keys, presets, records
from jackdawlatch.standins import fakes
from jackdawlatch.testing import functions

NAMES = st.sampled_from(('ordinary', 'peak', 'night'))
EDITS = st.one_of(
    st.builds(edits.PutInForce, NAMES),
    st.builds(edits.Remove, st.just(presets.Preset), NAMES),
    st.builds(
        edits.Put,
        st.builds(presets.Preset, name=NAMES, queue_limit=st.integers(0, 3)),
    ),
)
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=30,
    phases=(hypothesis.Phase.generate,),
)


class ConcurrentEdits(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = fakes.FakeStore()
        self.editors = [editor.Editor(self.store) for _ in range(3)]
        self.seen = [presets.Configuration() for _ in self.editors]
        self.current = presets.Configuration()
        initial = presets.Configuration(
            pools_by_name={'s': presets.Pool(name='s', spare=True)},
            presets_by_name={'ordinary': presets.Preset(name='ordinary')},
        )
        self._race([(0, edits.Replace(initial))], based=False)

    @stateful.rule(operator=st.integers(0, 2))
    def load(self, operator: int) -> None:
        found = self.loop.run_until_complete(self.editors[operator].read())
        self.seen[operator] = found.value_or(self.seen[operator])

    @stateful.rule(
        requests=st.lists(st.tuples(st.integers(0, 2), EDITS), max_size=3),
        based=st.booleans(),
    )
    def race(self, requests: list[tuple[int, edits.Edit]], based: bool) -> None:
        self._race(requests, based)

    @stateful.rule(lost=st.integers(0, 2), outage=st.booleans())
    def fault(self, lost: int, outage: bool) -> None:
        self.store.lose_replies = lost

        async def go_down() -> None:
            self.store.down = True

        self.store.before_put = go_down if outage else None
        self.store.down = False

    def _race(
        self, requests: list[tuple[int, edits.Edit]], based: bool
    ) -> None:
        async def edit_all() -> list[outcomes.Outcome]:
            return await asyncio.gather(
                *(
                    self.editors[operator].edit(
                        edit, self.seen[operator] if based else None
                    )
                    for operator, edit in requests
                )
            )

        completed = self.loop.run_until_complete(edit_all())
        versions = self._written_versions()
        for (operator, edit), outcome in zip(requests, completed, strict=True):
            self._check_outcome(edit, outcome, versions, self.seen[operator])

    def _written_versions(self) -> dict[int, presets.Configuration]:
        """Validate each version written since the last call; return them all."""
        changes = self.store.content.changes(keys.CONFIG, self.current.version)
        versions = {self.current.version: self.current}
        for entry in changes.entries:
            after = records.decode(entry.value, presets.Configuration)
            assert after.version == self.current.version + 1
            assert after.in_force in after.presets_by_name
            for preset in after.presets_by_name.values():
                assert preset.queue_limit >= 1
            versions[after.version] = after
            self.current = after
        return versions

    def _check_outcome(
        self,
        edit: edits.Edit,
        outcome: outcomes.Outcome,
        versions: dict[int, presets.Configuration],
        seen: presets.Configuration,
    ) -> None:
        if isinstance(outcome, result.Success):
            success = outcome.unwrap()
            if isinstance(success, outcomes.Applied):
                assert success.version in versions
            return
        failure = outcome.failure()
        if isinstance(failure, outcomes.ConflictingEdit):
            assert failure.difference
            assert failure.present_version > seen.version


async def test_concurrent_edits() -> None:
    await asyncio.to_thread(
        stateful.run_state_machine_as_test, ConcurrentEdits, settings=SETTINGS
    )


load_tests = functions.loader(__name__)
