"""CBOR and HTTP/1.1 for the stand-ins, with the standard library only."""

import math
import socket
import struct
import threading


# ---- CBOR: maps keyed by text, lists, text, numbers, booleans and null

def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += bytes((major << 5 | 24, number))
    elif number < 1 << 16:
        out += struct.pack(">BH", major << 5 | 25, number)
    elif number < 1 << 32:
        out += struct.pack(">BI", major << 5 | 26, number)
    else:
        out += struct.pack(">BQ", major << 5 | 27, number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        _head(0, value, out) if value >= 0 else _head(1, -1 - value, out)
    elif isinstance(value, float):
        out += struct.pack(">Bd", 0xFB, value)
    elif isinstance(value, str):
        data = value.encode()
        _head(3, len(data), out)
        out += data
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


def decode(data):
    if not data:
        return None
    value, end = _decode(data, 0)
    if end != len(data):
        raise ValueError("trailing bytes")
    return value


def _decode(data, at):
    first = data[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info == 20:
            return False, at
        if info == 21:
            return True, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return _half(struct.unpack_from(">H", data, at)[0]), at + 2
        if info == 26:
            return struct.unpack_from(">f", data, at)[0], at + 4
        if info == 27:
            return struct.unpack_from(">d", data, at)[0], at + 8
        raise ValueError(f"simple value {info}")
    if info < 24:
        number = info
    elif info == 31:
        number = None
    else:
        size = 1 << (info - 24)
        number = int.from_bytes(data[at:at + size], "big")
        at += size
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major in (2, 3):
        if number is None:
            raise ValueError("text in parts")
        part = data[at:at + number]
        return (part.decode() if major == 3 else part), at + number
    if major == 4:
        items = []
        while number is None or len(items) < number:
            if number is None and data[at] == 0xFF:
                return items, at + 1
            item, at = _decode(data, at)
            items.append(item)
        return items, at
    if major == 5:
        fields = {}
        count = 0
        while number is None or count < number:
            if number is None and data[at] == 0xFF:
                return fields, at + 1
            key, at = _decode(data, at)
            fields[key], at = _decode(data, at)
            count += 1
        return fields, at
    raise ValueError(f"major type {major}")


def _half(bits):
    sign = -1.0 if bits & 0x8000 else 1.0
    exponent, fraction = bits >> 10 & 31, bits & 1023
    if exponent == 0:
        return sign * fraction * 2.0 ** -24
    if exponent == 31:
        return sign * math.inf if fraction == 0 else math.nan
    return sign * (1 + fraction / 1024) * 2.0 ** (exponent - 15)


# ---- HTTP

class Closed(Exception):
    """The connection ended before the message was complete."""


def read_message(sock, buffer):
    """Reads one message. Returns its start line, header fields and body. `buffer` keeps what follows it."""
    while True:
        end = buffer.find(b"\r\n\r\n")
        if end >= 0:
            break
        chunk = sock.recv(65536)
        if not chunk:
            raise Closed()
        buffer += chunk
    lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    while len(buffer) < end + 4 + length:
        chunk = sock.recv(65536)
        if not chunk:
            raise Closed()
        buffer += chunk
    body = bytes(buffer[end + 4:end + 4 + length])
    del buffer[:end + 4 + length]
    return lines[0], fields, body


class Server:
    """Serves `handle(method, target, body)` on a free port of 127.0.0.1. The handler returns a status and a body, or
    `None` to leave the request without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = bytearray()
        try:
            while True:
                start, _, body = read_message(sock, buffer)
                method, target, _ = start.split(" ", 2)
                answer = self.handle(method, target, body)
                if answer is None:
                    # No answer: wait until the client gives up.
                    while sock.recv(65536):
                        pass
                    return
                status, value = answer
                data = b"" if value is None else encode(value)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
                sock.sendall(head.encode() + data)
        except (OSError, Closed, ValueError):
            pass
        finally:
            sock.close()

    def stop(self):
        self.listener.close()


def split_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Connection:
    """A kept-alive client connection."""

    def __init__(self, address, timeout):
        self.address = address
        self.sock = socket.create_connection(split_address(address), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = bytearray()

    def call(self, method, target, value, timeout):
        data = b"" if value is None else encode(value)
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\nContent-Length: {len(data)}\r\n\r\n"
        self.sock.settimeout(timeout)
        self.sock.sendall(head.encode() + data)
        start, fields, body = read_message(self.sock, self.buffer)
        status = int(start.split(" ")[1])
        try:
            value = decode(body)
        except (ValueError, IndexError, struct.error):
            value = None
        return status, fields, value

    def close(self):
        self.sock.close()


def call(address, method, target, value=None, timeout=5.0):
    """One request on a connection of its own. Returns the status and the body, or `(None, None)` without an answer."""
    try:
        connection = Connection(address, timeout)
    except OSError:
        return None, None
    try:
        status, _, answer = connection.call(method, target, value, timeout)
        return status, answer
    except (OSError, Closed):
        return None, None
    finally:
        connection.close()


class Proxy:
    """Forwards connections to `target`. While it is cut, nothing passes in either direction, and established
    connections stay open. At the end of a cut it resets every connection that existed, as a cut that resets does;
    what was sent during the cut is lost."""

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.lock = threading.Condition()
        self.pairs = set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            try:
                upstream = socket.create_connection(split_address(self.target), timeout=2)
                upstream.settimeout(None)
            except OSError:
                client.close()
                continue
            for sock in (client, upstream):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = (client, upstream)
            with self.lock:
                self.pairs.add(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(target=self._pump, args=(pair, source, sink), daemon=True).start()

    def _pump(self, pair, source, sink):
        try:
            while True:
                data = source.recv(65536)
                with self.lock:
                    while self.is_cut and pair in self.pairs:
                        self.lock.wait()
                    if pair not in self.pairs:
                        return
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        finally:
            with self.lock:
                self.pairs.discard(pair)
            for sock in pair:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                sock.close()

    def cut(self):
        with self.lock:
            self.is_cut = True

    def heal_with_resets(self):
        with self.lock:
            pairs, self.pairs = self.pairs, set()
            self.is_cut = False
            self.lock.notify_all()
        for pair in pairs:
            for sock in pair:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    sock.shutdown(socket.SHUT_RD)
                except OSError:
                    pass
                sock.close()
