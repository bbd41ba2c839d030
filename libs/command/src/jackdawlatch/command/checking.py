"""Checks a configuration file before it is sent."""

import dataclasses
import pathlib
from collections.abc import Iterable
from typing import Annotated, Any

import cyclopts
from returns import result

from jackdawlatch.command import (
    constraints,
    editing,
    exit_statuses,
    fleet_client,
    operation,
    sample_jobs,
    unified_files,
)
from jackdawlatch.config import (
    catalog_checks,
    catalog_difference,
    contradictions,
    difference,
    files,
    findings,
    paths,
)
from jackdawlatch.jobs import queues
from jackdawlatch.model import failures, presets, records


class Checked(records.Record, frozen=True, kw_only=True):
    """What a check found.

    Without a version to compare with, the last two fields are None.
    """

    findings: tuple[findings.Finding, ...]
    version_in_force: int | None = None
    differences: difference.Difference | None = None

    @property
    def errors(self) -> int:
        """The number of findings that must be corrected."""
        error = findings.Severity.ERROR
        return sum(found.severity is error for found in self.findings)

    def lines(self) -> tuple[str, ...]:
        """Return the findings, the differences and a summary as text."""
        compared = ['not compared with a version in force']
        if self.differences is not None:
            compared = [
                f'{len(self.differences)} differences from version'
                f' {self.version_in_force}',
                *editing.format_difference(self.differences),
            ]
        warnings = len(self.findings) - self.errors
        return (
            *(found.line() for found in self.findings),
            *compared,
            f'{self.errors} errors, {warnings} warnings',
        )


Outcome = result.Result[Checked, failures.Problem]


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Sources:
    """What a file is checked against.

    Parameters
    ----------
    in_force
        A file with the version in force, which is read instead of the store.
    store
        HOST:PORT of the unified daemon's store, to read that version from.
    jobs
        A file of sample jobs, to compare with the quotas of teams.
    strict
        Also fail if there are only warnings.
    """

    in_force: pathlib.Path | None = None
    store: str = ''
    jobs: pathlib.Path | None = None
    strict: Annotated[bool, cyclopts.Parameter(negative=())] = False


DEFAULT_SOURCES = Sources()


@dataclasses.dataclass(frozen=True)
class CheckFile(operation.Detached):
    """Checks a file against the version in force, if there is access to it."""

    file: pathlib.Path
    sources: Sources = DEFAULT_SOURCES

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Check the file, with the configuration in force in the store."""
        return (await self._check(client)).map(self._report)

    async def run_detached(self) -> operation.Outcome:
        """Check the file without access to the fleet."""
        return (await self._check(None)).map(self._report)

    async def _check(self, client: fleet_client.FleetClient | None) -> Outcome:
        read = files.read_json(self.file)
        if isinstance(read, result.Failure):
            return read
        if unified_files.is_unified(read.unwrap()):
            return await self._check_unified(read.unwrap())
        if self.sources.store or self.sources.jobs:
            return result.Failure(
                failures.Invalid(
                    message=f'{self.file} is not of the unified daemon',
                    hint='--store and --jobs are for its configuration only',
                )
            )
        return await self._check_own(read.unwrap(), client)

    async def _check_own(
        self, json_value: Any, client: fleet_client.FleetClient | None
    ) -> Outcome:
        converted = paths.convert(json_value, presets.Configuration)
        if isinstance(converted, result.Failure):
            invalid = converted.failure()
            return _checked([findings.error(invalid.path, invalid.expected)])
        configuration = converted.unwrap()
        found = list(
            contradictions.check(configuration, constraints.SUPPORTED_POLICIES)
        )
        if self.sources.in_force is None and client is None:
            return _checked(found)
        in_force = await self._read_own(client)
        if isinstance(in_force, result.Failure):
            return _unless_errors(found, in_force.failure())
        current = in_force.unwrap()
        found.extend(contradictions.check_edit(current, configuration))
        return _checked(
            found,
            current.version,
            difference.between(current, configuration),
        )

    async def _read_own(
        self, client: fleet_client.FleetClient | None
    ) -> result.Result[presets.Configuration, failures.Problem]:
        if self.sources.in_force or client is None:
            return files.read(
                self.sources.in_force or self.file, presets.Configuration
            )
        return await editing.read_configuration(client)

    async def _check_unified(self, json_value: Any) -> Outcome:
        sections = unified_files.SECTIONS
        found = list(unified_files.unread_fields_of(json_value))
        decoded = unified_files.decode(json_value)
        if isinstance(decoded, result.Failure):
            return _checked([*found, decoded.failure()])
        catalog = decoded.unwrap()
        sampled = sample_jobs.check(self.sources.jobs, catalog)
        if isinstance(sampled, result.Failure):
            return sampled
        found.extend(sampled.unwrap())
        read = await unified_files.read_in_force(
            self.sources.in_force, self.sources.store
        )
        in_force = read.value_or(None)
        found.extend(catalog_checks.check(catalog, sections, in_force))
        if isinstance(read, result.Failure):
            return _unless_errors(found, read.failure())
        return _checked_catalog(found, in_force, catalog)

    def _report(self, checked: Checked) -> operation.Report:
        strict = self.sources.strict
        bad = len(checked.findings) if strict else checked.errors
        status = exit_statuses.ExitStatus.USAGE
        return operation.Report(
            checked,
            checked.lines(),
            status if bad else exit_statuses.ExitStatus.OK,
        )


def _checked_catalog(
    found: Iterable[findings.Finding],
    in_force: queues.Catalog | None,
    catalog: queues.Catalog,
) -> Outcome:
    if in_force is None:
        return _checked(found)
    differences = catalog_difference.between(
        in_force, catalog, unified_files.SECTIONS
    )
    return _checked(found, in_force.version, differences)


def _checked(
    found: Iterable[findings.Finding],
    version: int | None = None,
    differences: difference.Difference | None = None,
) -> Outcome:
    return result.Success(
        Checked(
            # Several sample jobs may exceed a quota in the same way.
            findings=tuple(dict.fromkeys(found)),
            version_in_force=version,
            differences=differences,
        )
    )


def _unless_errors(
    found: list[findings.Finding], problem: failures.Problem
) -> Outcome:
    """Report errors of the file though the version in force is unknown."""
    if any(one.severity is findings.Severity.ERROR for one in found):
        return _checked(found)
    return result.Failure(problem)
