"""A shard's value while transitions are made on it, counts kept in step."""

from returns import result

from jackdawlatch.membership import budget, refusals, shards
from jackdawlatch.model import hosts, records

Refused = result.Failure[refusals.Refusal]
Step = result.Result[None, refusals.Refusal]

DONE: Step = result.Success(None)


class Draft:
    """Mutable inside one change of the value, and nowhere else."""

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
        """Return the value with every change made so far."""
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
        """Return where a host is."""
        found = self._assignments_by_host.get(host)
        if found is None:
            return result.Failure(
                refusals.Unknown(message=f'no host {host}', host=host)
            )
        return result.Success(found)

    def hosts_by_id(self) -> dict[str, hosts.Host]:
        """Return the descriptions of all hosts, to read only."""
        return self._hosts_by_id

    def assignments_by_host(self) -> dict[str, hosts.Assignment]:
        """Return where every host is, to read only."""
        return self._assignments_by_host

    def service(self, host: str) -> shards.Service:
        """Return whether a known host serves."""
        return shards.service(
            self._assignments_by_host[host],
            self._hosts_by_id[host],
            host in self._unknown,
            self.now_s,
        )

    def put(self, host: str, assignment: hosts.Assignment) -> None:
        """Place a known host, whatever that does to budgets."""
        self._count(host, -1)
        self._assignments_by_host[host] = assignment
        self._count(host, 1)

    def put_within_budget(
        self, host: str, assignment: hosts.Assignment
    ) -> Step:
        """Place a known host unless its pool would be short beyond budget.

        Taking out a host that has failed costs its pool nothing.  One whose
        state is unknown may well serve, so it is counted as if it did.
        """
        present = self._assignments_by_host[host]
        service = self.service(host)
        before = self.counts.unavailable(present.pool)
        self.put(host, assignment)
        after = self.counts.unavailable(present.pool)
        allowed = self.limits.max_unavailable(present.pool)
        if service is not shards.Service.UNKNOWN:
            allowed = max(before, allowed)
        if after <= allowed:
            return DONE
        self.put(host, present)
        return result.Failure(
            refusals.BudgetExceeded(
                message=(
                    f'pool {present.pool} would lack {after} hosts, '
                    f'its budget is {allowed}'
                ),
                hint='wait until more of its hosts serve',
                host=host,
                pool=present.pool,
                unavailable=after,
                max_unavailable=allowed,
            )
        )

    def observe(self, host: hosts.Host, unknown: bool) -> None:
        """Take over what the platform says of a known host."""
        self._count(host.id, -1)
        self._hosts_by_id[host.id] = host
        if unknown:
            self._unknown.add(host.id)
        else:
            self._unknown.discard(host.id)
        self._count(host.id, 1)

    def admit(self, host: hosts.Host, assignment: hosts.Assignment) -> None:
        """Take in a host that was not known."""
        self._hosts_by_id[host.id] = host
        self._assignments_by_host[host.id] = assignment
        self._count(host.id, 1)

    def forget(self, host: str) -> None:
        """Remove a known host."""
        self._count(host, -1)
        self._hosts_by_id.pop(host)
        self._assignments_by_host.pop(host)
        self._unknown.discard(host)

    def _count(self, host: str, sign: int) -> None:
        assignment = self._assignments_by_host[host]
        described = self._hosts_by_id[host]
        self.counts.add(assignment, described, self.service(host), sign)
