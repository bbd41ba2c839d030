"""Runs test functions with fixtures as unittest cases.

A test module ends with ``load_tests = functions.loader(__name__, FIXTURES)``.
The parameters of a test function name its fixtures.  A fixture is a function
without parameters that returns a synchronous or asynchronous context manager.
"""

import asyncio
import contextlib
import functools
import inspect
import sys
import unittest
from collections.abc import Callable, Mapping
from typing import Any

Fixture = Callable[[], Any]
Loader = Callable[
    [unittest.TestLoader, unittest.TestSuite, str | None], unittest.TestSuite
]

TEST_PREFIX = 'test_'


def loader(
    module: str,
    fixtures: Mapping[str, Fixture] | None = None,
) -> Loader:
    """Return a ``load_tests`` function for the tests of a module."""

    def load_tests(  # noqa: WPS430 unittest calls it under this name.
        _loader: unittest.TestLoader,
        _tests: unittest.TestSuite,
        _pattern: str | None,
    ) -> unittest.TestSuite:
        return unittest.TestSuite(
            unittest.FunctionTestCase(
                functools.update_wrapper(
                    functools.partial(_run, function, fixtures or {}),
                    function,
                ),
                description=f'{module}.{name}',
            )
            for name, function in sys.modules[module].__dict__.items()
            if name.startswith(TEST_PREFIX) and callable(function)
        )

    return load_tests


def _run(function: Callable[..., Any], fixtures: Mapping[str, Fixture]) -> None:
    names = _parameters(function)
    asyncio.run(
        _run_with_fixtures(function, {name: fixtures[name] for name in names})
    )


def _parameters(function: Callable[..., Any]) -> tuple[str, ...]:
    # The signature omits the parameters that Hypothesis fills.
    return tuple(inspect.signature(function).parameters)


async def _run_with_fixtures(
    function: Callable[..., Any], fixtures: Mapping[str, Fixture]
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        arguments: dict[str, Any] = {}
        for name, fixture in fixtures.items():
            manager = fixture()
            if isinstance(manager, contextlib.AbstractAsyncContextManager):
                arguments[name] = await stack.enter_async_context(manager)
            else:
                arguments[name] = stack.enter_context(manager)
        outcome = function(**arguments)
        if inspect.isawaitable(outcome):
            await outcome
