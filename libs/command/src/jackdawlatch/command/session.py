"""The connections of one command: the store and the live daemons."""

import asyncio
from typing import ClassVar, TypeVar

import msgspec
from returns import result
from tornado import curl_httpclient, httpclient

from jackdawlatch.command import settings
from jackdawlatch.model import failures, records
from jackdawlatch.node import daemon, documents, roster
from jackdawlatch.store import keyvalue, remote

Answer = TypeVar('Answer')


class Unreachable(failures.Problem, frozen=True, kw_only=True):
    """A daemon did not answer."""

    code: ClassVar[str] = 'unreachable'


class Session:
    """Reads and writes the store, and asks daemons over HTTP."""

    def __init__(self, given: settings.Operator) -> None:
        self.settings = given
        self.store: keyvalue.Store = remote.RemoteStore(given.store_addresses)
        self._client = curl_httpclient.CurlAsyncHTTPClient()

    async def daemons(self) -> tuple[roster.Peer, ...]:
        """Return the live daemons, as the store or the settings name them."""
        found = await self.store.scan(roster.PEERS_PREFIX)
        if isinstance(found, result.Success):
            return tuple(
                records.decode(entry.value, roster.Peer)
                for entry in found.unwrap().entries
            )
        statuses = await asyncio.gather(
            *(
                self.ask(address, '/status', daemon.Status)
                for address in self.settings.operations_addresses
            )
        )
        return tuple(
            one.unwrap().peer
            for one in statuses
            if isinstance(one, result.Success)
        )

    async def ask(
        self, address: str, path: str, answer_type: type[Answer]
    ) -> result.Result[Answer, Unreachable]:
        """Return a daemon's answer to a GET."""
        try:
            response = await self._client.fetch(
                f'http://{address}{path}',
                request_timeout=self.settings.timeout_s,
                connect_timeout=self.settings.timeout_s,
            )
            return result.Success(
                msgspec.json.decode(response.body, type=answer_type)
            )
        except (OSError, httpclient.HTTPError, msgspec.DecodeError) as error:
            return result.Failure(
                Unreachable(message=f'{address}{path}: {error}')
            )

    async def hand_over(
        self, document: documents.Document, peers: tuple[roster.Peer, ...]
    ) -> int:
        """Give an accepted document to live daemons; count the takers.

        So the change spreads even if the store goes down at this moment.
        """
        outcomes = await asyncio.gather(
            *(self._post(peer.operations_address, document) for peer in peers)
        )
        return sum(outcomes)

    async def _post(self, address: str, document: documents.Document) -> bool:
        try:
            await self._client.fetch(
                f'http://{address}/documents',
                method='POST',
                body=records.encode(document),
                request_timeout=self.settings.timeout_s,
            )
        except (OSError, httpclient.HTTPError):
            return False
        return True
