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
    max_examples=300,
    stateful_step_count=30,
    phases=(hypothesis.Phase.generate,),
)


class Racing(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = fakes.FakeStore()
        self.editors = [editor.Editor(self.store) for _ in range(3)]
        self.seen = [presets.Configuration() for _ in self.editors]
        self.present = presets.Configuration()
        whole = presets.Configuration(
            pools_by_name={'s': presets.Pool(name='s', spare=True)},
            presets_by_name={'ordinary': presets.Preset(name='ordinary')},
        )
        self._race([(0, edits.Replace(whole))], based=False)

    @stateful.rule(who=st.integers(0, 2))
    def look(self, who: int) -> None:
        found = self.loop.run_until_complete(self.editors[who].read())
        self.seen[who] = found.value_or(self.seen[who])

    @stateful.rule(
        wanted=st.lists(st.tuples(st.integers(0, 2), EDITS), max_size=3),
        based=st.booleans(),
    )
    def race(self, wanted: list[tuple[int, edits.Edit]], based: bool) -> None:
        self._race(wanted, based)

    @stateful.rule(lost=st.integers(0, 2), outage=st.booleans())
    def fault(self, lost: int, outage: bool) -> None:
        self.store.lose_replies = lost

        async def go_down() -> None:
            self.store.down = True

        self.store.before_put = go_down if outage else None
        self.store.down = False

    def _race(self, wanted: list[tuple[int, edits.Edit]], based: bool) -> None:
        async def together() -> list[outcomes.Outcome]:
            return await asyncio.gather(
                *(
                    self.editors[who].edit(
                        edit, self.seen[who] if based else None
                    )
                    for who, edit in wanted
                )
            )

        ended = self.loop.run_until_complete(together())
        versions = self._accepted()
        for (who, edit), outcome in zip(wanted, ended, strict=True):
            self._judge(edit, outcome, versions, self.seen[who])

    def _accepted(self) -> dict[int, presets.Configuration]:
        """Return the versions written since, each one checked."""
        changes = self.store.content.changes(keys.CONFIG, self.present.version)
        versions = {self.present.version: self.present}
        for entry in changes.entries:
            after = records.decode(entry.value, presets.Configuration)
            assert after.version == self.present.version + 1
            assert after.in_force in after.presets_by_name
            for preset in after.presets_by_name.values():
                assert preset.queue_limit >= 1
            versions[after.version] = after
            self.present = after
        return versions

    def _judge(
        self,
        edit: edits.Edit,
        outcome: outcomes.Outcome,
        versions: dict[int, presets.Configuration],
        seen: presets.Configuration,
    ) -> None:
        if isinstance(outcome, result.Success):
            ended = outcome.unwrap()
            if isinstance(ended, outcomes.Applied):
                assert ended.version in versions
            return
        failure = outcome.failure()
        if isinstance(failure, outcomes.ConflictingEdit):
            assert failure.difference
            assert failure.present_version > seen.version


async def test_racing_operators() -> None:
    await asyncio.to_thread(
        stateful.run_state_machine_as_test, Racing, settings=SETTINGS
    )


load_tests = functions.loader(__name__)
