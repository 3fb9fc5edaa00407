"""A minimal HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
from contextlib import suppress


async def read_message(reader):
    """Return start line, headers and body, or ``None`` at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head[:-4].split(b'\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(b':')
        headers[name.strip().lower().decode()] = value.strip().decode('latin-1')
    body = b''
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            body = await read_chunks(reader)
        elif headers.get('content-length'):
            body = await reader.readexactly(int(headers['content-length']))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return start.decode('latin-1'), headers, body


async def read_chunks(reader):
    """Return a body in chunked coding; trailers are dropped."""
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return b''.join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


def render(start, headers, body=b''):
    """Return a message with a length."""
    lines = [start, *(f'{name}: {value}' for name, value in headers.items())]
    if body or start.startswith('HTTP/'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


async def send_request(port, method, target, headers, body=b'', wait_s=8):
    """Send one request on a new connection; return status, headers, body.

    The status is 0 if the connection ends without a complete answer.
    """
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            sent = {**headers, 'Connection': 'close'}
            writer.write(render(f'{method} {target} HTTP/1.1', sent, body))
            answer = await read_message(reader)
    except (OSError, TimeoutError):
        answer = None
    finally:
        if writer is not None:
            writer.close()
    if answer is None:
        return 0, {}, b''
    start, answer_headers, answer_body = answer
    return int(start.split()[1]), answer_headers, answer_body


async def close(writer):
    """Close a connection and wait until it is closed."""
    with suppress(OSError):
        writer.close()
        await writer.wait_closed()
