"""Runs benchmarks; updates measure/latest.json, docs/MEASURES.md and plots."""

import argparse
import json
import pathlib
import subprocess  # noqa: S404 asks git for the measured commit.
import sys
import time

from measure import base, modules, page

RESULTS_FILE = pathlib.Path(__file__).resolve().parent / 'latest.json'


def main() -> int:
    """Run the selected benchmarks; merge their tables into the results file."""
    parser = argparse.ArgumentParser(prog='measure', description=__doc__)
    parser.add_argument('names', nargs='*', help='default: all')
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    results_by_name = (
        json.loads(RESULTS_FILE.read_text()) if RESULTS_FILE.exists() else {}
    )
    commit = _commit()
    modules.load()
    for name in arguments.names or sorted(base.Benchmark.measures_by_name):
        results_by_name[name] = _run(name, arguments.seed, commit)
        RESULTS_FILE.write_text(json.dumps(results_by_name, indent=1) + '\n')
    page.write(results_by_name)
    return 0


def _run(name: str, seed: int, commit: str) -> page.Run:
    started_s = time.monotonic()
    tables = [
        page.to_dict(table)
        for table in base.Benchmark.measures_by_name[name]().run(seed)
    ]
    took_s = round(time.monotonic() - started_s, 1)
    sys.stdout.write(f'{name}: {took_s} s\n')
    return {
        'commit': commit,
        'seed': seed,
        'took_s': took_s,
        'tables': tables,
    }


def _commit() -> str:
    completed = subprocess.run(  # noqa: S603, S607 fixed arguments.
        ['git', 'describe', '--always', '--dirty'],
        cwd=base.ROOT,
        capture_output=True,
        check=False,
        text=True,
    )
    return completed.stdout.strip()


if __name__ == '__main__':
    sys.exit(main())
