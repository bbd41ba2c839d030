"""Calls to the key-value service, at one of several addresses."""

import dataclasses
from collections.abc import Sequence

from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.model import records
from jackdawlatch.store import keyvalue, replies

READ_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True)
class Plan:
    """How often a call is tried, and how long each attempt may take.

    ``after_uncertain`` allows another attempt when the last may have run.
    """

    attempts: int
    timeout_s: float
    after_uncertain: bool = True


class Caller:
    """Sends calls; the address that answered last is used first."""

    def __init__(self, addresses: Sequence[str], timeout_s: float) -> None:
        self._addresses = list(addresses)
        self._timeout_s = timeout_s
        self._client = exchange.Client()
        self.read_plan = Plan(max(READ_ATTEMPTS, len(addresses)), timeout_s)
        self.write_plan = Plan(len(addresses), timeout_s, after_uncertain=False)

    async def call(
        self,
        call: records.Record,
        reply_type: type[replies.Reply],
        plan: Plan,
    ) -> replies.Replied[replies.Reply]:
        """Send a call as often as ``plan`` allows."""
        replied = await self._send(call, reply_type, plan)
        for _ in range(plan.attempts - 1):
            if not _worth_another(replied, plan):
                break
            replied = await self._send(call, reply_type, plan)
        return replied

    async def read(
        self, call: records.Record, reply_type: type[replies.Reply]
    ) -> result.Result[replies.Reply, keyvalue.Unavailable]:
        """Send a call that does no harm when it runs more than once."""
        replied = await self.call(call, reply_type, self.read_plan)
        return replied.alt(replies.unavailable)

    def close(self) -> None:
        """Close the connections to the service."""
        self._client.close()

    async def _send(
        self,
        call: records.Record,
        reply_type: type[replies.Reply],
        plan: Plan,
    ) -> replies.Replied[replies.Reply]:
        address = self._addresses[0]
        name = type(call).__name__.lower()
        answered = await self._client.send(
            exchange.Outgoing(
                f'{address}/v1/{name}',
                method='POST',
                body=records.encode(call),
                timeout_s=plan.timeout_s,
                connect_timeout_s=min(plan.timeout_s, self._timeout_s),
            )
        )
        replied = replies.read(answered, reply_type)
        if _worth_another(replied, self.read_plan):
            self._turn_from(address)
        return replied

    def _turn_from(self, address: str) -> None:
        # Several calls may fail at the same address at once.
        if self._addresses[0] == address:
            self._addresses.append(self._addresses.pop(0))


def _worth_another(replied: replies.Replied[replies.Reply], plan: Plan) -> bool:
    if isinstance(replied, result.Success):
        return False
    failure = replied.failure()
    if isinstance(failure, keyvalue.Uncertain):
        return plan.after_uncertain
    return isinstance(failure, keyvalue.Unavailable)
