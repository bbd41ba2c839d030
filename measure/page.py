"""The page of all measures, written from the record."""

import dataclasses
from typing import Any

from measure import base

Run = dict[str, Any]
PAGE = base.ROOT / 'docs' / 'MEASURES.md'
# Figures of the users' bench, which `make measure` can't play.
USERS_BENCH = base.ROOT / 'measure' / 'users-bench.md'
HEADING = """# Measures

Written by `make measure` from `measure/latest.json`; do not edit. Figures
are ratios within one run where the text says so, since machines are noisy.
"""


def plain(table: base.Table) -> Run:
    """Return the form of a table that is kept in the record."""
    return dataclasses.asdict(table)


def write(record: dict[str, Run]) -> None:
    """Write the page."""
    parts = [HEADING]
    for name, run in sorted(record.items()):
        parts.append(
            f'## {name}\n\nCommit {run["commit"]}, seed {run["seed"]}, '
            f'`python -m measure {name}`, {run["took_s"]} s.\n'
        )
        parts.extend(_text(table) for table in run['tables'])
    parts.append(USERS_BENCH.read_text())
    PAGE.write_text('\n'.join(parts))


def _text(table: Run) -> str:
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
