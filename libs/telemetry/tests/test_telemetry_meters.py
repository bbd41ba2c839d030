"""Labels of metrics are bounded in number."""

from jackdawlatch.telemetry import meters
from jackdawlatch.testing import functions


def test_further_names_share_one_label():
    """Guards against a series for each team that ever was configured."""
    labels = meters.BoundedLabels(2)
    names = ('a', 'b', 'c', 'a', 'd')
    assert [labels.label(name) for name in names] == [
        'a',
        'b',
        meters.OTHER,
        'a',
        meters.OTHER,
    ]


def test_gauge_shows_the_samples_of_each_export():
    instruments = meters.Meters('test', 'test')
    samples = [(1.0, {'team': 'a'}), (2.0, {'team': 'b'})]
    instruments.labelled_gauge('held', lambda: samples)
    for _ in range(2):
        exposition = instruments.exposition().decode()
        for amount, labels in samples:
            team = labels['team']
            assert f'team="{team}"}} {amount}' in exposition
        assert exposition.count('\nheld{') == len(samples)
        samples.pop()


load_tests = functions.loader(__name__, {})
