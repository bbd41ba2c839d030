from jackdawlatch.entry import charging
from jackdawlatch.model import presets, work
from jackdawlatch.testing import functions


def _team(team: str, preset: presets.Preset) -> str:
    return charging.charged_kind(
        work.Kind(service='match', team=team), preset
    ).team


def test_unknown_teams_are_charged_to_one_team() -> None:
    preset = presets.Preset(
        name='ordinary',
        shares=(presets.Share(urgency='urgent'), presets.Share(team='desk')),
        quotas_by_team={'courier': presets.Quota()},
    )
    teams = [_team(team, preset) for team in ('desk', 'courier', 'x1', 'x2')]
    assert teams == ['desk', 'courier', 'default', 'default']


def test_preset_without_teams_charges_each_team() -> None:
    assert _team('x1', presets.Preset(name='ordinary')) == 'x1'


load_tests = functions.loader(__name__)
