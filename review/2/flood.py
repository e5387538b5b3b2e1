"""An engine that gets into trouble: its answers go on without end.

A process of its own, so that the bytes it sends don't slow the stand-ins down.
Usage: flood.py HOST NAME. It writes its port. After a line on its standard
input each stream that it runs, also a new one, goes on as single bytes in
chunks of their own, until the caller closes.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit  # noqa: E402

EVENTS = 40
GAP_S = 0.06
BLOCK = b'1\r\nx\r\n' * 10_000


class TroubledEngine(kit.Server):
    def __init__(self, host, name):
        super().__init__(host)
        self._name = name
        self.is_in_trouble = False

    async def answer(self, method, target, headers, body, writer):
        if headers.get('x-figspread-expect-instance', self._name) != self._name:
            writer.write(kit.encode_answer(421, [], b''))
            return
        request = headers.get(kit.REQUEST_ID, '')
        say('arrives {0}'.format(request))
        kit.begin_stream(writer, [
            ('X-Figspread-Request-Id', request),
            (kit.SIGNATURE, '{0}.{1}'.format(self._name, request)),
        ])
        await asyncio.sleep(0.02)
        begin = int(headers.get('last-event-id', -1)) + 1
        for number in range(begin, EVENTS):
            if self.is_in_trouble:
                await self._flood(request, writer)
            kit.send_chunk(writer, kit.make_event(number))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b'0\r\n\r\n')

    async def _flood(self, request, writer):
        sent = 0
        try:
            while True:
                writer.write(BLOCK)
                await writer.drain()
                sent += len(BLOCK)
        except ConnectionError:
            say('{0} closed by its caller after {1} bytes'.format(request, sent))
            raise


def say(text):
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


async def main():
    engine = TroubledEngine(sys.argv[1], sys.argv[2])
    await engine.start()
    say(str(engine.port))
    await asyncio.to_thread(sys.stdin.readline)
    engine.is_in_trouble = True
    await asyncio.sleep(60)


asyncio.run(main())
