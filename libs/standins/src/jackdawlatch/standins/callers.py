"""A caller of the entries, which records each outcome."""

import dataclasses
import enum
import random
import time
from collections.abc import Sequence

from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.standins import runner

OUTCOME_HEADER = 'Jackdawlatch-Outcome'
TIMEOUT_MARGIN_S = 5.0
MAX_CONCURRENT = 256


class Outcome(enum.StrEnum):
    """The answer that a caller got; ``NO_ANSWER`` is a lost connection."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'outcome-unknown'
    NO_ANSWER = 'no-answer'


@dataclasses.dataclass(frozen=True)
class Request:
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
class Call:
    """A request and its outcome, as its caller saw them.

    Times are seconds since the epoch.
    """

    request: Request
    outcome: Outcome
    sent_s: float = 0
    ended_s: float = 0
    reply: exchange.Reply | None = None
    failure: str = ''

    @property
    def status(self) -> int:
        """The status, 0 without an answer."""
        return self.reply.status if self.reply else 0

    @property
    def body(self) -> bytes:
        """The body, empty without an answer."""
        return self.reply.body if self.reply else b''

    @property
    def receipt(self) -> runner.Receipt | None:
        """The runner's receipt, None without a complete answer."""
        if self.reply is None or self.outcome is not Outcome.ANSWERED:
            return None
        return self.reply.json(runner.Receipt).value_or(None)

    @property
    def matches_request(self) -> bool:
        """Whether the answer is complete and belongs to the request.

        Copies of a keyed request may be answered by the run of one of them.
        """
        receipt = self.receipt
        if receipt is None:
            return False
        request = self.request
        same_run = request.key or receipt.id == request.id
        same_target = request.path.endswith(receipt.path)
        return bool(same_run) and same_target and receipt.key == request.key


class Caller:
    """Sends requests to entries; ``ready_entries`` limits the choice."""

    def __init__(self, entries: Sequence[str], rng: random.Random) -> None:
        self.entries = tuple(entries)
        self.ready_entries = self.entries
        self._rng = rng
        self._client = exchange.Client(max_concurrent=MAX_CONCURRENT)

    def choose_entry(self) -> str:
        """Return the base URL of a random entry, a ready one if there is any."""
        return self._rng.choice(self.ready_entries or self.entries)

    async def send(self, request: Request) -> Call:
        """Send a request once and return it with its outcome."""
        sent_s = time.time()
        answered = await self._client.send(_outgoing(request))
        reply = answered.value_or(None)
        return Call(
            request=request,
            outcome=_outcome(answered),
            sent_s=sent_s,
            ended_s=time.time(),
            reply=reply,
            failure=_failure(answered),
        )

    def close(self) -> None:
        """Close every connection."""
        self._client.close()


def _outcome(
    answered: result.Result[exchange.Reply, exchange.Failed],
) -> Outcome:
    if isinstance(answered, result.Failure):
        sent = isinstance(answered.failure(), exchange.Unanswered)
        return Outcome.NO_ANSWER if sent else Outcome.NOT_RUN
    named = answered.unwrap().headers.get(OUTCOME_HEADER)
    return Outcome(named) if named else Outcome.NO_ANSWER


def _failure(
    answered: result.Result[exchange.Reply, exchange.Failed],
) -> str:
    if isinstance(answered, result.Failure):
        failed: exchange.Failed = answered.failure()
        return failed.message
    return ''


def _outgoing(request: Request) -> exchange.Outgoing:
    key = (('Idempotency-Key', request.key),) if request.key else ()
    return exchange.Outgoing(
        request.entry + request.path,
        method=request.method,
        body=request.body,
        headers=(
            ('X-Request-Id', request.id),
            ('Request-Timeout', str(request.timeout_s)),
            *key,
            *request.headers,
        ),
        timeout_s=request.timeout_s + TIMEOUT_MARGIN_S,
    )
