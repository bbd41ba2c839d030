"""A caller of the entries, which notes what it was told."""

import dataclasses
import enum
import random
from collections.abc import Sequence

from returns import result

from jackdawlatch.platform import exchange
from jackdawlatch.standins import runner

OUTCOME_HEADER = 'Jackdawlatch-Outcome'
TIMEOUT_MARGIN_S = 5.0
MAX_CONCURRENT = 256


class Outcome(enum.StrEnum):
    """What a caller was told; ``NO_ANSWER`` is a lost connection."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'outcome-unknown'
    NO_ANSWER = 'no-answer'


@dataclasses.dataclass(frozen=True)
class Asked:
    """One request; ``entry`` is the base URL of an entry."""

    entry: str
    path: str
    id: str
    method: str = 'GET'
    key: str = ''
    body: bytes | None = None
    timeout_s: float = 10
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class Told:
    """The answer to one request, as its caller saw it."""

    asked: Asked
    outcome: Outcome
    status: int = 0
    body: bytes = b''
    reply: exchange.Reply | None = None

    @property
    def receipt(self) -> runner.Receipt | None:
        """What the runner said of the request, if its answer was whole."""
        if self.reply is None or self.outcome is not Outcome.ANSWERED:
            return None
        return self.reply.json(runner.Receipt).value_or(None)

    @property
    def is_own(self) -> bool:
        """Whether this is the whole answer to the request that was sent.

        Copies of a keyed request may be answered by the run of one of them.
        """
        receipt = self.receipt
        if receipt is None:
            return False
        asked = self.asked
        same_run = asked.key or receipt.id == asked.id
        same_target = asked.path.endswith(receipt.path)
        return bool(same_run) and same_target and receipt.key == asked.key


class Caller:
    """Sends requests to entries, once each."""

    def __init__(self, entries: Sequence[str], rng: random.Random) -> None:
        self.entries = tuple(entries)
        self._rng = rng
        self._client = exchange.Client(max_concurrent=MAX_CONCURRENT)

    def any_entry(self) -> str:
        """Return the base URL of an entry, as a balancer chooses it."""
        return self._rng.choice(self.entries)

    async def ask(self, asked: Asked) -> Told:
        """Send a request and note the outcome."""
        answered = await self._client.send(_outgoing(asked))
        if isinstance(answered, result.Failure):
            sent = isinstance(answered.failure(), exchange.Unanswered)
            return Told(asked, Outcome.NO_ANSWER if sent else Outcome.NOT_RUN)
        reply = answered.unwrap()
        named = reply.headers.get(OUTCOME_HEADER, Outcome.NO_ANSWER)
        return Told(asked, Outcome(named), reply.status, reply.body, reply)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()


def _outgoing(asked: Asked) -> exchange.Outgoing:
    key = (('Idempotency-Key', asked.key),) if asked.key else ()
    return exchange.Outgoing(
        asked.entry + asked.path,
        method=asked.method,
        body=asked.body,
        headers=(
            ('X-Request-Id', asked.id),
            ('Request-Timeout', str(asked.timeout_s)),
            *key,
            *asked.headers,
        ),
        timeout_s=asked.timeout_s + TIMEOUT_MARGIN_S,
    )
