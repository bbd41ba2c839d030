"""Plots of the measures, as SVG files below ``docs/plots``."""

from collections.abc import Sequence

import matplotlib
from matplotlib import pyplot

from measure import base, results

TARGET = 0.95
BAR_WIDTH = 0.2


def floods(deployment: str, found: Sequence[results.Flooded]) -> str:
    """Draw the worst goodput of each flood and way; return the file name."""
    matplotlib.use('svg')
    # Fixed ids keep the file the same from run to run.
    matplotlib.rcParams['svg.hashsalt'] = 'measure'
    figure, axes = pyplot.subplots(figsize=(8, 3.5))
    ways = list(dict.fromkeys(each.way for each in found))
    labels = list(
        dict.fromkeys(f'{each.flood}, {each.factor}x' for each in found)
    )
    for place, way in enumerate(ways):
        heights = [
            min(each.goodput_by_kind.values())
            for each in found
            if each.way == way
        ]
        axes.bar(
            [spot + place * BAR_WIDTH for spot in range(len(labels))],
            heights,
            BAR_WIDTH,
            label=way,
        )
    axes.axhline(TARGET, color='grey', linestyle=':')
    axes.set_xticks(
        [spot + BAR_WIDTH * (len(ways) - 1) / 2 for spot in range(len(labels))],
        labels,
    )
    axes.set_ylabel('goodput kept by the worst other kind')
    axes.legend(loc='center left', bbox_to_anchor=(1, 0.5))
    name = f'flood-{deployment}.svg'
    base.PLOTS.mkdir(parents=True, exist_ok=True)
    figure.savefig(
        base.PLOTS / name, bbox_inches='tight', metadata={'Date': None}
    )
    pyplot.close(figure)
    return name
