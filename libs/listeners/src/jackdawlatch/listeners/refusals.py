"""What a client reads whose request is refused before it is complete."""

import abc
import dataclasses

import msgspec
from tornado import httputil

RETRY_AFTER_S = 1

_JSON = ('Content-Type', 'application/json')


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Headers and body of the answer."""

    headers: tuple[tuple[str, str], ...]
    body: bytes


class Refusals(abc.ABC):
    """The refusals of a server, for a request with these headers."""

    @abc.abstractmethod
    def too_large(self, headers: httputil.HTTPHeaders, limit: int) -> Refusal:
        """Return the refusal of a body over the limit."""

    @abc.abstractmethod
    def overloaded(self, headers: httputil.HTTPHeaders) -> Refusal:
        """Return the refusal of a request that is only too much now."""


class JsonRefusals(Refusals):
    """Refuses with a code and a message."""

    def too_large(self, headers: httputil.HTTPHeaders, limit: int) -> Refusal:
        """Return the refusal of a body over the limit."""
        problem = {
            'code': 'body-too-large',
            'message': f'at most {limit} bytes',
        }
        return Refusal((_JSON,), msgspec.json.encode(problem))

    def overloaded(self, headers: httputil.HTTPHeaders) -> Refusal:
        """Return the refusal of a request that is only too much now."""
        problem = {
            'code': 'clients-overload',
            'message': 'too many large requests',
        }
        return Refusal(
            (_JSON, ('Retry-After', str(RETRY_AFTER_S))),
            msgspec.json.encode(problem),
        )
