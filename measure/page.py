"""Writes docs/MEASURES.md from the contents of measure/latest.json."""

import dataclasses
from typing import Any

from measure import base

Run = dict[str, Any]
PAGE = base.ROOT / 'docs' / 'MEASURES.md'
# Results of the users' own benchmark, which `make measure` can't run.
USERS_BENCH = base.ROOT / 'measure' / 'users-bench.md'
HEADING = """# Measures

Written by `make measure` from `measure/latest.json`; do not edit. Figures
are ratios within one run where the text says so, since machines are noisy.
"""


def to_dict(table: base.Table) -> Run:
    """Return a table in the form in which measure/latest.json keeps it."""
    return dataclasses.asdict(table)


def write(results_by_name: dict[str, Run]) -> None:
    """Write the page, with one section per benchmark."""
    parts = [HEADING]
    for name, run in sorted(results_by_name.items()):
        parts.append(
            f'## {name}\n\nCommit {run["commit"]}, seed {run["seed"]}, '
            f'`python -m measure {name}`, {run["took_s"]} s.\n'
        )
        parts.extend(_table_text(table) for table in run['tables'])
    parts.append(USERS_BENCH.read_text())
    PAGE.write_text('\n'.join(parts))


def _table_text(table: Run) -> str:
    lines = [
        f'### {table["title"]}',
        '',
        table['note'],
        '',
        _row(table['columns']),
        _row(['---'] * len(table['columns'])),
    ]
    lines.extend(_row(row) for row in table['rows'])
    lines.extend(f'\n![{plot}](plots/{plot})' for plot in table['plots'])
    return '\n'.join(lines) + '\n'


def _row(cells: Any) -> str:
    return f'| {" | ".join(map(str, cells))} |'
