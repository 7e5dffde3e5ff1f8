"""A small HTTP/1.1 layer over asyncio streams, for stand-ins and clients."""

import asyncio


class Message:
    """A request or an answer. `headers` has lower-case names."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start[0]

    @property
    def target(self):
        return self.start[1]


async def read_head(reader):
    """Returns a Message without its body; None if the peer closed first."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_chunk(reader):
    """Returns the next chunk; b"" for the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(reader):
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while chunk := await read_chunk(reader):
                message.body += chunk
        else:
            size = int(message.headers.get("content-length", 0))
            message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def head(status, reason="OK", **fields):
    """Returns the head of an answer; "_" in a field's name stands for "-"."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name.replace('_', '-')}: {value}"
              for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(status, body=b"", **fields):
    return head(status, "Status", Content_Length=len(body), **fields) + body


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Calls `handle(request, writer)` for each request of a connection. The
    connection ends when it returns False."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = set()
        self.server = None

    async def start(self, address, port=0, sock=None):
        if sock is not None:
            self.server = await asyncio.start_server(self.serve, sock=sock)
        else:
            self.server = await asyncio.start_server(self.serve, address, port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass  # Tasks are cancelled at the end of a case only.
        finally:
            self.connections.discard(writer)
            writer.close()

    def drop_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    def close(self):
        if self.server is not None:
            self.server.close()
        self.drop_connections()
