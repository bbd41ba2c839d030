"""Checks imports.

``from`` imports name modules, not classes or functions.  Decisions in
libs/policy import nothing that reads a clock, sends, stores or logs.
"""

import ast
import importlib.util
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
# Names of these modules serve only type checking or are compiler directives.
EXEMPT = frozenset(('typing', 'collections.abc', '__future__'))
POLICY = ROOT / 'libs' / 'policy' / 'src'
POLICY_IMPORTS = (
    'abc',
    'collections',
    'dataclasses',
    'enum',
    'itertools',
    'jackdawlatch.policy',
    'math',
    'typing',
)


def main() -> int:
    """Print each violation; return 1 if there is any, else 0."""
    sources = [
        path
        for pattern in ('libs/*/**/*.py', 'platform/**/*.py', 'measure/*.py')
        for path in sorted(ROOT.glob(pattern))
    ]
    violations = [line for path in sources for line in _violations(path)]
    for line in violations:
        sys.stdout.write(f'{line}\n')
    return 1 if violations else 0


def _violations(path: pathlib.Path) -> list[str]:
    tree = ast.parse(path.read_text())
    return [
        *_impure_imports(path, tree),
        *_names_from_modules(path, tree),
    ]


def _impure_imports(path: pathlib.Path, tree: ast.Module) -> list[str]:
    if not path.is_relative_to(POLICY):
        return []
    imported = [
        (node.lineno, name)
        for node in ast.walk(tree)
        for name in _imported_modules(node)
    ]
    return [
        f'{path.relative_to(ROOT)}:{line}: a decision may not import {name}'
        for line, name in imported
        if not name.startswith(POLICY_IMPORTS)
    ]


def _imported_modules(node: ast.AST) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        return [node.module or '']
    return []


def _names_from_modules(path: pathlib.Path, tree: ast.Module) -> list[str]:
    return [
        f'{path.relative_to(ROOT)}:{node.lineno}: '
        f'{node.module}.{alias.name} is not a module'
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module not in EXEMPT
        for alias in node.names
        if not _is_module(f'{node.module}.{alias.name}')
    ]


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


if __name__ == '__main__':
    sys.exit(main())
