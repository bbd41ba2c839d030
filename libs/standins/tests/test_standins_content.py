import dataclasses

import hypothesis
from hypothesis import stateful  # noqa: WPS458 settings are no module.
from hypothesis import strategies as st
from returns import result

from jackdawlatch.model import clocks
from jackdawlatch.standins import content as contents
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions

KEYS = st.sampled_from(('a/x', 'a/y', 'b/x'))
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


@dataclasses.dataclass(frozen=True)
class Held:
    value: bytes
    revision: int
    lease: str


class ContentMachine(stateful.RuleBasedStateMachine):
    """Compares the content with plain dictionaries of keys and leases."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.ManualClock()
        self.content = contents.Content(self.clock)
        self.held_by_key: dict[str, Held] = {}
        self.ttl_s_by_lease: dict[str, int] = {}
        self.expiry_s_by_lease: dict[str, float] = {}
        self.mirror_by_key: dict[str, bytes] = {}
        self.seen_revision = 0

    @stateful.rule(
        key=KEYS,
        value=st.binary(max_size=2),
        stale=st.booleans(),
        choices=st.data(),
    )
    def put(
        self, key: str, value: bytes, stale: bool, choices: st.DataObject
    ) -> None:
        lease = choices.draw(st.sampled_from(('', *self.ttl_s_by_lease)))
        revision = self._revision(key)
        outcome = self.content.put(key, value, revision + int(stale), lease)
        if lease and not self._is_live(lease):
            assert isinstance(outcome.failure(), keyvalue.LeaseLost)
        elif stale:
            assert isinstance(outcome.failure(), keyvalue.Conflict)
        else:
            written = outcome.unwrap()
            assert written.revision > revision
            self.held_by_key[key] = Held(value, written.revision, lease)

    @stateful.rule(key=KEYS, stale=st.booleans())
    def delete(self, key: str, stale: bool) -> None:
        revision = self._revision(key)
        outcome = self.content.delete(key, revision + int(stale))
        if revision and not stale:
            assert isinstance(outcome, result.Success)
            self.held_by_key.pop(key)
        else:
            assert isinstance(outcome.failure(), keyvalue.Conflict)

    @stateful.rule(ttl_s=st.integers(min_value=1, max_value=5))
    def grant(self, ttl_s: int) -> None:
        lease = self.content.grant(ttl_s).id
        self.ttl_s_by_lease[lease] = ttl_s
        self.expiry_s_by_lease[lease] = self.clock.monotonic_s() + ttl_s

    @stateful.precondition(lambda machine: machine.ttl_s_by_lease)
    @stateful.rule(choices=st.data())
    def renew(self, choices: st.DataObject) -> None:
        lease = choices.draw(st.sampled_from(tuple(self.ttl_s_by_lease)))
        renewed = self.content.renew(lease)
        assert isinstance(renewed, result.Success) is self._is_live(lease)
        if self._is_live(lease):
            ttl_s = self.ttl_s_by_lease[lease]
            self.expiry_s_by_lease[lease] = self.clock.monotonic_s() + ttl_s

    @stateful.precondition(lambda machine: machine.ttl_s_by_lease)
    @stateful.rule(choices=st.data())
    def revoke(self, choices: st.DataObject) -> None:
        lease = choices.draw(st.sampled_from(tuple(self.ttl_s_by_lease)))
        self.content.revoke(lease)
        self.expiry_s_by_lease[lease] = self.clock.monotonic_s()

    @stateful.rule(seconds=st.integers(min_value=1, max_value=4))
    def pass_time(self, seconds: int) -> None:
        self.clock.advance(seconds)

    @stateful.rule()
    def watch(self) -> None:
        changes = self.content.changes('', self.seen_revision)
        for entry in changes.entries:
            self.mirror_by_key.pop(entry.key, None)
            if not entry.deleted:
                self.mirror_by_key[entry.key] = entry.value
        self.seen_revision = changes.revision
        assert self.mirror_by_key == self._values()

    @stateful.invariant()
    def holds_what_the_maps_hold(self) -> None:
        entries = self.content.scan('').entries
        assert {one.key: one.value for one in entries} == self._values()

    def _values(self) -> dict[str, bytes]:
        self.held_by_key = {
            key: held
            for key, held in self.held_by_key.items()
            if not held.lease or self._is_live(held.lease)
        }
        return {key: held.value for key, held in self.held_by_key.items()}

    def _revision(self, key: str) -> int:
        self._values()
        held = self.held_by_key.get(key)
        return held.revision if held else keyvalue.ABSENT

    def _is_live(self, lease: str) -> bool:
        return self.expiry_s_by_lease[lease] > self.clock.monotonic_s()


def test_content_agrees_with_plain_dictionaries() -> None:
    stateful.run_state_machine_as_test(ContentMachine, settings=SETTINGS)


def test_dropped_history_returns_every_entry() -> None:
    content = contents.Content(clocks.ManualClock())
    for _ in range(contents.HISTORY_ENTRIES + 1):
        content.put('k', b'', content.revision, '').unwrap()
    changes = content.changes('', 1)
    assert changes.reset
    assert [one.revision for one in changes.entries] == [content.revision]


load_tests = functions.loader(__name__)
