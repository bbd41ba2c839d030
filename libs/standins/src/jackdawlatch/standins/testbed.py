"""A running deployment with a caller and an operator, for demo and soak."""

import contextlib
import pathlib
import random
import tempfile
from collections.abc import Iterator
from typing import ClassVar

from returns import result

from jackdawlatch.model import failures
from jackdawlatch.standins import (
    callers,
    deployments,
    driver,
    fleet_state,
    operators,
    ports,
    processes,
    profiles,
)
from jackdawlatch.store import remote

FILL_TIMEOUT_S = 30.0
DAEMON_ROLES = ('entry', 'steward', 'placer')


class NotStarted(failures.Problem, frozen=True, kw_only=True):
    """The deployment did not come up."""

    code: ClassVar[str] = 'deployment-not-started'


class Testbed:
    """The processes of one deployment, with files below one directory."""

    def __init__(
        self,
        profile: profiles.Profile,
        started_processes: processes.Processes,
        rng: random.Random,
        by_rack: bool = False,
    ) -> None:
        self.profile = profile
        self.rng = rng
        self.directory = started_processes.directory
        self._ports = ports.Ports(random.Random())
        self.deployment = deployments.build(
            profile, self._ports, self.directory
        )
        self.driver = driver.Driver(self.deployment, started_processes, by_rack)
        self.caller = callers.Caller(
            tuple(
                f'http://{entry.http_address}'
                for entry in self.deployment.entries_by_name.values()
            ),
            rng,
        )
        self.operator = operators.Operator(
            self.directory, self.deployment.operator
        )
        self.store = remote.RemoteStore(
            self.deployment.operator.store_addresses
        )

    async def start(self) -> result.Result[None, failures.Problem]:
        """Start the platform, apply the configuration, start the daemons.

        Fails with ``NotStarted`` or the driver's ``NotReady``.
        """
        platform = self.driver.names('store', 'hosts', 'runners', 'workers')
        up = await self.driver.start(platform)
        if isinstance(up, result.Failure):
            return up
        first = profiles.configuration(self.profile)
        applied = await self.operator.apply(first)
        if not applied.succeeded:
            return result.Failure(NotStarted(message=applied.stderr))
        up = await self.driver.start(self.daemon_names)
        if isinstance(up, result.Failure):
            return up
        if await fleet_state.wait_until_filled(self.store, FILL_TIMEOUT_S):
            return result.Success(None)
        return result.Failure(
            NotStarted(
                message=f'the pools are not filled after {FILL_TIMEOUT_S} s'
            )
        )

    @property
    def daemon_names(self) -> tuple[str, ...]:
        """The names of the entry, steward and placer processes."""
        return self.driver.names(*DAEMON_ROLES)

    def close(self) -> None:
        """Close the connections; ``Processes`` ends the processes."""
        self.caller.close()
        self.driver.close()
        self.store.close()
        self._ports.close()


@contextlib.contextmanager
def open_testbed(
    profile: profiles.Profile, rng: random.Random, by_rack: bool = False
) -> Iterator[Testbed]:
    """Yield a testbed in a temporary directory; end its processes on exit."""
    with (
        tempfile.TemporaryDirectory(prefix='jackdawlatch-') as directory,
        processes.Processes(pathlib.Path(directory)) as started_processes,
        contextlib.closing(
            Testbed(profile, started_processes, rng, by_rack)
        ) as bed,
    ):
        yield bed
