"""Runs the tests of every library and prints one closing line.

Tests listed in KNOWN-RED.txt are run, printed, and not counted as failures.
"""

import argparse
import importlib.util
import os
import pathlib
import sys
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The tree that is tested goes before the one that is installed.
MEMBERS = (*sorted(ROOT.glob('libs/*')), ROOT / 'platform')
SOURCES = [str(path / 'src') for path in MEMBERS]
sys.path[:0] = SOURCES
# Processes that a test starts are to run the same tree.
os.environ['PYTHONPATH'] = os.pathsep.join(SOURCES)
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def main() -> int:
    """Run the chosen tests; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('libraries', nargs='*', help='default: all')
    parser.add_argument('--match', default='', help='part of a test name')
    chosen = parser.parse_args()
    suite = _suite(chosen.libraries, chosen.match)
    outcome = unittest.TextTestRunner(verbosity=2, stream=sys.stdout).run(suite)
    return _report(outcome)


def _suite(libraries: list[str], match: str) -> unittest.TestSuite:
    suite = unittest.TestSuite()
    for member in MEMBERS:
        if libraries and member.name not in libraries:
            continue
        for path in sorted(member.glob('tests/test_*.py')):
            tests = unittest.defaultTestLoader.loadTestsFromModule(
                _module(path)
            )
            suite.addTests(
                test for test in _flat(tests) if match in _name(test)
            )
    return suite


def _flat(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    flat: list[unittest.TestCase] = []
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            flat.extend(_flat(test))
        else:
            flat.append(test)
    return flat


def _module(path: pathlib.Path) -> types.ModuleType:
    sys.path.insert(0, str(path.parent))
    spec = importlib.util.spec_from_file_location(path.stem, path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[path.stem] = module
    spec.loader.exec_module(module)
    sys.path.pop(0)
    return module


def _report(outcome: unittest.TestResult) -> int:
    known_by_name = _known_red()
    bad = outcome.failures + outcome.errors
    red = [test for test, _ in bad if _name(test) in known_by_name]
    for line in known_by_name.values():
        sys.stdout.write(f'known red: {line}\n')
    failed = len(bad) - len(red)
    passed = outcome.testsRun - len(bad)
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if failed or not passed else 0


def _name(test: unittest.TestCase) -> str:
    return test.shortDescription() or str(test)


def _known_red() -> dict[str, str]:
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.split()[0]: line for line in lines if line and line[0] not in '# '
    }


if __name__ == '__main__':
    sys.exit(main())
