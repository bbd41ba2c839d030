"""Runs the tests of the libraries and of platform/.

The last line counts passed and failed tests. A test that is listed in
KNOWN-RED.txt is run, but its failure is not counted.
"""

import argparse
import importlib.util
import os
import pathlib
import sys
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# This source tree takes precedence over installed packages.
MEMBERS = (*sorted(ROOT.glob('libs/*')), ROOT / 'platform')
SOURCES = [str(path / 'src') for path in MEMBERS]
sys.path[:0] = SOURCES
# Processes that tests start import the same tree.
os.environ['PYTHONPATH'] = os.pathsep.join(SOURCES)
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def main() -> int:
    """Run the selected tests; return 1 if any failed or none passed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('libraries', nargs='*', help='default: all')
    parser.add_argument('--match', default='', help='part of a test name')
    arguments = parser.parse_args()
    suite = _suite(arguments.libraries, arguments.match)
    result = unittest.TextTestRunner(verbosity=2, stream=sys.stdout).run(suite)
    return _report(result)


def _suite(libraries: list[str], match: str) -> unittest.TestSuite:
    suite = unittest.TestSuite()
    for member in MEMBERS:
        if libraries and member.name not in libraries:
            continue
        for path in sorted(member.glob('tests/test_*.py')):
            tests = unittest.defaultTestLoader.loadTestsFromModule(
                _load_module(path)
            )
            suite.addTests(
                test for test in _test_cases(tests) if match in _name(test)
            )
    return suite


def _test_cases(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    test_cases: list[unittest.TestCase] = []
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            test_cases.extend(_test_cases(test))
        else:
            test_cases.append(test)
    return test_cases


def _load_module(path: pathlib.Path) -> types.ModuleType:
    sys.path.insert(0, str(path.parent))
    spec = importlib.util.spec_from_file_location(path.stem, path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[path.stem] = module
    spec.loader.exec_module(module)
    sys.path.pop(0)
    return module


def _report(result: unittest.TestResult) -> int:
    known_by_name = _known_red()
    failures = result.failures + result.errors
    known_failures = [
        test for test, _ in failures if _name(test) in known_by_name
    ]
    for line in known_by_name.values():
        sys.stdout.write(f'known red: {line}\n')
    failed = len(failures) - len(known_failures)
    passed = result.testsRun - len(failures)
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
