"""Clients outside all limits.

Load pattern: many large bodies that stop short of their end and stay open.  The
test guards against an entry that keeps all of them.
"""

import asyncio

import entry_fleets

from jackdawlatch.testing import functions, waiting

BODY = bytes(1024 * 1024 - 1)
CROWD = 24
# Bodies of 1 MiB that fit in the 8 MB that the entry has for requests.
UNCLOSED = 8


async def test_large_unfinished_bodies_are_refused(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start(clients_mb=8)
    host, _, port = entry.settings.http_address.partition(':')
    refused: list[bytes] = []
    writers: list[asyncio.StreamWriter] = []

    async def send() -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
        writer.write(
            b'POST /services/desk/x HTTP/1.1\r\nHost: a\r\n'
            b'Content-Length: %d\r\n\r\n' % (len(BODY) + 1)
        )
        writer.write(BODY)
        refused.append(await reader.readuntil(b'\r\n\r\n'))

    crowd = [asyncio.create_task(send()) for _ in range(CROWD)]
    try:
        await waiting.until(lambda: len(refused) >= CROWD - UNCLOSED)
    finally:
        await _end(crowd, writers)
    for head in refused:
        assert b' 503 ' in head
        assert b'Jackdawlatch-Outcome: not-run' in head
    answer = await fleet.send(entry, method='POST', body=BODY)
    assert entry_fleets.outcome(answer) == 'answered'


async def _end(
    crowd: list[asyncio.Task[None]], writers: list[asyncio.StreamWriter]
) -> None:
    for sending in crowd:
        sending.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    for writer in writers:
        writer.close()


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
