"""A mutable copy of a shard's value, to which transitions are applied."""

from returns import result

from jackdawlatch.membership import budget, refusals, shards
from jackdawlatch.model import hosts, records

Refused = result.Failure[refusals.Refusal]
StepResult = result.Result[None, refusals.Refusal]

DONE: StepResult = result.Success(None)


class Draft:
    """A mutable copy of a shard's value, used within one edit only.

    Each change also updates ``counts``, the counts of every pool.
    """

    def __init__(
        self, value: shards.Shard, limits: budget.Limits, now_s: float
    ) -> None:
        self.limits = limits
        self.now_s = now_s
        self.waves_by_id = dict(value.waves_by_id)
        self.counts = budget.count(value, limits, now_s)
        self._value = value
        self._assignments_by_host = dict(value.assignments_by_host)
        self._hosts_by_id = dict(value.hosts_by_id)
        self._unknown = set(value.unknown_hosts)

    def value(self) -> shards.Shard:
        """Return an immutable value with all changes made so far."""
        return records.replace(
            self._value,
            assignments_by_host=self._assignments_by_host,
            hosts_by_id=self._hosts_by_id,
            waves_by_id=self.waves_by_id,
            unknown_hosts=tuple(sorted(self._unknown)),
        )

    def assignment(
        self, host: str
    ) -> result.Result[hosts.Assignment, refusals.Refusal]:
        """Return a host's assignment, or ``refusals.Unknown``."""
        found = self._assignments_by_host.get(host)
        if found is None:
            return result.Failure(
                refusals.Unknown(message=f'no host {host}', host=host)
            )
        return result.Success(found)

    def hosts_by_id(self) -> dict[str, hosts.Host]:
        """Return the descriptions of all hosts; callers must not change it."""
        return self._hosts_by_id

    def assignments_by_host(self) -> dict[str, hosts.Assignment]:
        """Return the assignment of every host; callers must not change it."""
        return self._assignments_by_host

    def availability(self, host: str) -> shards.Availability:
        """Return the availability of a known host."""
        return shards.availability(
            self._assignments_by_host[host],
            self._hosts_by_id[host],
            host in self._unknown,
            self.now_s,
        )

    def put(self, host: str, assignment: hosts.Assignment) -> None:
        """Set the assignment of a known host without checking budgets."""
        self._count(host, -1)
        self._assignments_by_host[host] = assignment
        self._count(host, 1)

    def put_within_budget(
        self, host: str, assignment: hosts.Assignment
    ) -> StepResult:
        """Set a known host's assignment if its pool's budget allows it.

        Returns ``refusals.BudgetExceeded`` otherwise.  Draining a failed host
        does not reduce its pool's availability, so it is always allowed.  A
        host whose state is unknown may be serving, so it is not exempt.
        """
        present = self._assignments_by_host[host]
        availability = self.availability(host)
        before = self.counts.unavailable(present.pool)
        self.put(host, assignment)
        after = self.counts.unavailable(present.pool)
        allowed = self.limits.max_unavailable(present.pool)
        if availability is not shards.Availability.UNKNOWN:
            allowed = max(before, allowed)
        if after <= allowed:
            return DONE
        self.put(host, present)
        return result.Failure(
            refusals.BudgetExceeded(
                message=(
                    f'{after} hosts of pool {present.pool} would be '
                    f'unavailable, its budget is {allowed}'
                ),
                hint='wait until more hosts of the pool serve',
                host=host,
                pool=present.pool,
                unavailable=after,
                max_unavailable=allowed,
            )
        )

    def update_host(self, host: hosts.Host, unknown: bool) -> None:
        """Store the platform's latest description of a known host."""
        self._count(host.id, -1)
        self._hosts_by_id[host.id] = host
        if unknown:
            self._unknown.add(host.id)
        else:
            self._unknown.discard(host.id)
        self._count(host.id, 1)

    def add_host(self, host: hosts.Host, assignment: hosts.Assignment) -> None:
        """Add a new host with its first assignment."""
        self._hosts_by_id[host.id] = host
        self._assignments_by_host[host.id] = assignment
        self._count(host.id, 1)

    def remove_host(self, host: str) -> None:
        """Remove a known host and its assignment."""
        self._count(host, -1)
        self._hosts_by_id.pop(host)
        self._assignments_by_host.pop(host)
        self._unknown.discard(host)

    def _count(self, host: str, sign: int) -> None:
        assignment = self._assignments_by_host[host]
        described = self._hosts_by_id[host]
        self.counts.add(assignment, described, self.availability(host), sign)
