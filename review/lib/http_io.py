"""A small HTTP/1.1 reader and writer over asyncio streams."""

import asyncio

HEAD_LIMIT = 262144


class Message:
    """A request or a response: the first line, the fields and the body."""

    def __init__(self, line, headers):
        self.line = line
        self.headers = headers
        self.body = b""

    def field(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    @property
    def method(self):
        return self.line.split(" ")[0]

    @property
    def target(self):
        return self.line.split(" ")[1]

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_head(reader):
    """Returns the head of the next message, or None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader):
    """Yields the chunks of a body; the last one is empty."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        yield data[:-2]
        if size == 0:
            return


async def read_request(reader):
    """Returns a whole request, or None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.field("transfer-encoding").lower() == "chunked":
        async for data in read_chunks(reader):
            message.body += data
    elif message.field("content-length"):
        message.body = await reader.readexactly(
            int(message.field("content-length")))
    return message


def head(status, fields, body=None):
    """Returns the bytes of a response; without a body, only its head."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class Listener:
    """Serves connections at one loopback address. `handle` is called with
    each request and the writer; it returns whether the connection stays
    open."""

    def __init__(self, handle, host="127.0.0.1"):
        self.handle = handle
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, self.host, port, limit=HEAD_LIMIT)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self.handle(request, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop_listening(self):
        if self._server is not None:
            self._server.close()
            self._server = None

    def crash(self):
        """Refuses new connections and resets all open ones."""
        self.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()
