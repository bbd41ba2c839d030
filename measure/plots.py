"""Plots of benchmark results, as SVG files below ``docs/plots``."""

from collections.abc import Sequence

import matplotlib
from matplotlib import pyplot

from measure import base, results

TARGET = 0.95
BAR_WIDTH = 0.2


def draw_floods(
    deployment: str, flood_results: Sequence[results.FloodResult]
) -> str:
    """Plot the worst goodput by flood and setup; return the file name."""
    matplotlib.use('svg')
    # A fixed salt makes equal results give equal files.
    matplotlib.rcParams['svg.hashsalt'] = 'measure'
    figure, axes = pyplot.subplots(figsize=(8, 3.5))
    setups = list(dict.fromkeys(each.setup for each in flood_results))
    labels = list(
        dict.fromkeys(f'{each.flood}, {each.factor}x' for each in flood_results)
    )
    for index, setup in enumerate(setups):
        heights = [
            min(each.goodput_by_kind.values())
            for each in flood_results
            if each.setup == setup
        ]
        axes.bar(
            [position + index * BAR_WIDTH for position in range(len(labels))],
            heights,
            BAR_WIDTH,
            label=setup,
        )
    axes.axhline(TARGET, color='grey', linestyle=':')
    axes.set_xticks(
        [
            position + BAR_WIDTH * (len(setups) - 1) / 2
            for position in range(len(labels))
        ],
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
