"""The client through which commands use the store and the daemons."""

import asyncio
from typing import ClassVar, TypeVar

import msgspec
from returns import result
from tornado import curl_httpclient, httpclient

from jackdawlatch.command import settings
from jackdawlatch.model import decoding, failures, records
from jackdawlatch.node import daemon, documents, roster
from jackdawlatch.store import keyvalue, remote

Body = TypeVar('Body')


class Unreachable(failures.Problem, frozen=True, kw_only=True):
    """A daemon did not answer, or its answer could not be decoded."""

    code: ClassVar[str] = 'unreachable'


class FleetClient:
    """Accesses the store, and the daemons over HTTP."""

    def __init__(self, operator_settings: settings.Operator) -> None:
        self.settings = operator_settings
        self.store: keyvalue.Store = remote.RemoteStore(
            operator_settings.store_addresses
        )
        self._http_client = curl_httpclient.CurlAsyncHTTPClient()

    async def daemons(self) -> tuple[roster.Peer, ...]:
        """Return the live daemons that are registered in the store.

        If the store can't be read, return those that answer at the
        ``operations_addresses`` of the settings.
        """
        scanned = await self.store.scan(roster.PEERS_PREFIX)
        if isinstance(scanned, result.Success):
            return tuple(
                records.decode(entry.value, roster.Peer)
                for entry in scanned.unwrap().entries
            )
        statuses = await asyncio.gather(
            *(
                self.get(address, '/status', daemon.Status)
                for address in self.settings.operations_addresses
            )
        )
        return tuple(
            status.unwrap().peer
            for status in statuses
            if isinstance(status, result.Success)
        )

    async def get(
        self, address: str, path: str, body_type: type[Body]
    ) -> result.Result[Body, Unreachable]:
        """Send a GET request to a daemon and return the decoded JSON body."""
        try:
            response = await self._http_client.fetch(
                f'http://{address}{path}',
                request_timeout=self.settings.timeout_s,
                connect_timeout=self.settings.timeout_s,
            )
            return result.Success(decoding.from_json(response.body, body_type))
        except (OSError, httpclient.HTTPError, msgspec.DecodeError) as error:
            return result.Failure(
                Unreachable(message=f'{address}{path}: {error}')
            )

    async def send_document(
        self, document: documents.Document, peers: tuple[roster.Peer, ...]
    ) -> int:
        """Send a stored document to daemons; return how many accepted it.

        The daemons then spread the change even if the store goes down now.
        """
        accepted = await asyncio.gather(
            *(
                self._post_document(peer.operations_address, document)
                for peer in peers
            )
        )
        return sum(accepted)

    async def _post_document(
        self, address: str, document: documents.Document
    ) -> bool:
        try:
            await self._http_client.fetch(
                f'http://{address}/documents',
                method='POST',
                body=records.encode(document),
                request_timeout=self.settings.timeout_s,
            )
        except (OSError, httpclient.HTTPError):
            return False
        return True
