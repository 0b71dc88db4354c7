"""CBOR and HTTP/1.1 for the stand-ins: what the protocol's pages need of them, on asyncio."""
import asyncio
import struct


def encode(value):
    out = bytearray()
    _put(out, value)
    return bytes(out)


def _head(out, major, number):
    if number < 24:
        out.append(major << 5 | number)
        return
    for info, size in ((24, 1), (25, 2), (26, 4), (27, 8)):
        if number < 1 << 8 * size:
            out.append(major << 5 | info)
            out += number.to_bytes(size, "big")
            return
    raise ValueError("number too large")


def _put(out, value):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        _head(out, *((0, value) if value >= 0 else (1, -1 - value)))
    elif isinstance(value, float):
        out.append(0xFB)
        out += struct.pack(">d", value)
    elif isinstance(value, str):
        data = value.encode()
        _head(out, 3, len(data))
        out += data
    elif isinstance(value, (list, tuple)):
        _head(out, 4, len(value))
        for item in value:
            _put(out, item)
    elif isinstance(value, dict):
        _head(out, 5, len(value))
        for key, item in value.items():
            _put(out, key)
            _put(out, item)
    else:
        raise TypeError(type(value))


def decode(data):
    value, end = _get(data, 0)
    if end != len(data):
        raise ValueError("bytes after the value")
    return value


def _get(data, at):
    major, info = data[at] >> 5, data[at] & 31
    at += 1
    if major == 7:
        if info in (20, 21):
            return info == 21, at
        if info in (22, 23):
            return None, at
        size, form = {25: (2, ">e"), 26: (4, ">f"), 27: (8, ">d")}[info]
        return struct.unpack(form, data[at:at + size])[0], at + size
    if info < 24:
        number = info
    elif info < 28:
        size = 1 << info - 24
        number = int.from_bytes(data[at:at + size], "big")
        at += size
    elif info == 31 and major in (3, 4, 5):
        number = None
    else:
        raise ValueError("not supported")
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major == 3 and number is not None:
        return bytes(data[at:at + number]).decode(), at + number
    items = []
    while len(items) < number * (2 if major == 5 else 1) if number is not None else data[at] != 0xFF:
        item, at = _get(data, at)
        items.append(item)
    if number is None:
        at += 1
    if major == 3:
        return "".join(items), at
    if major == 4:
        return items, at
    if major == 5:
        return dict(zip(items[::2], items[1::2])), at
    raise ValueError("not supported")


async def read_message(reader):
    """First line, header fields and body of the next message, or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(":")
            fields[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


def response_bytes(status, body):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/cbor\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """An HTTP server on a loopback port. `answer(method, target, body)` returns (status, value), or None for no
    answer at all: the connection then stays open and silent, as behind a cut."""

    def __init__(self, answer):
        self.answer = answer
        self.server = None
        self.port = None
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                result = await self.answer(method, target, body)
                if result is None:
                    await reader.read()  # until the caller gives up
                    return
                status, value = result
                writer.write(response_bytes(status, b"" if value is None else encode(value)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()


class Link:
    """A client's connection to one address; it stays open between calls."""

    def __init__(self, port):
        self.port = port
        self.stream = None

    async def call(self, method, target, value=None, timeout=5.0, raw=None):
        """(status, body, header fields); raises OSError or TimeoutError if there is no answer."""
        try:
            return await asyncio.wait_for(self._call(method, target, value, raw), timeout)
        except BaseException:
            self.close()
            raise

    async def _call(self, method, target, value, raw):
        if raw is None:
            raw = b"" if value is None else encode(value)
        request = f"{method} {target} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\nContent-Length: {len(raw)}\r\n\r\n"
        for fresh in (False, True):
            if self.stream is None:
                self.stream = await asyncio.open_connection("127.0.0.1", self.port)
                fresh = True
            reader, writer = self.stream
            try:
                writer.write(request.encode() + raw)
                await writer.drain()
                line, fields, body = await read_message(reader)
                break
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                self.close()
                if fresh:
                    raise ConnectionError("closed without an answer") from error
        if "close" in fields.get("connection", "").lower():
            self.close()
        return int(line.split(" ")[1]), body, fields

    def close(self):
        if self.stream:
            self.stream[1].transport.abort()
            self.stream = None
