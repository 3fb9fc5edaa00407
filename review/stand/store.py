"""A sound store of the platform: items, one revision counter, watches."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from stand.http import read_message, render

HISTORY_S = 20
PAGE_ITEMS = 500


class Store:
    """Keeps items; loses nothing, answers at once and exactly.

    Each port of it can be cut off, as a partition between the store and the
    machine that uses this port.
    """

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self._oldest = 100
        self._changed = asyncio.Event()
        self._servers = {}
        self._cut = {}

    async def listen(self):
        """Open a port and return it."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self._servers[port] = server
        self._cut[port] = asyncio.Event()
        return port

    def put(self, key, value):
        """Write an item and return the time of the acknowledgement."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get('Created', self.revision)
        item = {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Revision': self.revision,
            'Created': created,
            'Lease': 0,
        }
        self.items[key] = item
        return self._append(item)

    def remove(self, key):
        """Remove an item and return the time of the acknowledgement."""
        self.revision += 1
        self.items.pop(key, None)
        event = {'Key': key, 'Revision': self.revision, 'Removed': True}
        return self._append(event)

    def _append(self, event):
        now_s = time.monotonic()
        self.events.append((now_s, event))
        self._forget(now_s)
        self._changed.set()
        self._changed = asyncio.Event()
        return now_s

    def _forget(self, now_s):
        """Discard the events that are older than the history."""
        while self.events and self.events[0][0] < now_s - HISTORY_S:
            self._oldest = self.events.pop(0)[1]['Revision']

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                target = urlsplit(message[0].split()[1])
                query = {
                    name: values[0]
                    for name, values in parse_qs(target.query).items()
                }
                status, answer = await self._answer(target.path, query)
                head = f'HTTP/1.1 {status} {"OK" if status == 200 else "No"}'
                kind = {'Content-Type': 'application/json'}
                writer.write(render(head, kind, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == '/figdoor/kv-range':
            return 200, self._range(query)
        if path == '/figdoor/kv-watch':
            return await self._watch(query)
        return 404, {}

    def _range(self, query):
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'MorePages': len(keys) > PAGE_ITEMS,
            'AsOf': self.revision,
        }

    async def _watch(self, query):
        self._forget(time.monotonic())
        after = int(query['after'])
        if after < self._oldest:
            return 410, {}
        until_s = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            found = [
                event
                for _, event in self.events
                if event['Revision'] > after
                and event['Key'].startswith(query.get('Prefix', ''))
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'AsOf': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
