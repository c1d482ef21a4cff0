"""Stand-in targets that answer with given bytes, or write answers twice."""

from __future__ import annotations

import socket
import threading

from attrs import Factory, define

READ_BYTES = 65_536
PART_BYTES = 262_144
END_TIMEOUT_S = 10.0


@define
class RawTarget:
    """Answers every connection's first request with bytes, and then closes it.

    :ivar answer: the bytes.
    :ivar repeat: how often the last part of the answer is written.
    :ivar received: what came, for each connection.
    :ivar sent: bytes that were written so far over all connections.
    """

    listener: socket.socket
    answer: bytes = b""
    tail: bytes = b""
    repeat: int = 0
    received: list[bytes] = Factory(list)
    sent: int = 0
    broken: threading.Event = Factory(threading.Event)

    @classmethod
    def listen(cls, address: str, port: int) -> RawTarget:
        """Return a target that listens, in a thread of its own."""
        target = cls(socket.create_server((address, port)))
        threading.Thread(target=target._accept, daemon=True).start()
        return target

    def close(self) -> None:
        """Stop listening."""
        # Closing alone would leave the port open while the thread waits on it.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            data = b""
            while b"\r\n\r\n" not in data:
                part = conn.recv(READ_BYTES)
                if not part:
                    return
                data += part
            self.received.append(data)
            try:
                conn.sendall(self.answer)
                for _ in range(self.repeat):
                    conn.sendall(self.tail)
                    self.sent += len(self.tail)
            except OSError:
                self.broken.set()


@define
class RepeatingTarget(RawTarget):
    """Answers each request with its path, after a copy of the answer before it.

    :ivar echoes: whether answers name the request that they belong to.
    """

    echoes: bool = False

    def _serve(self, conn: socket.socket) -> None:
        before = b""
        with conn, conn.makefile("rb") as stream:
            while line := stream.readline():
                names = {}
                while (header := stream.readline()).strip():
                    name, _, value = header.partition(b":")
                    names[name.strip().lower()] = value.strip()
                answer = self._build_answer(line.split()[1], names)
                try:
                    conn.sendall(before + answer)
                except OSError:
                    return
                before = answer

    def _build_answer(self, path: bytes, names: dict[bytes, bytes]) -> bytes:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(path)
        if self.echoes:
            head += b"Almondgap-Request: %b\r\n" % names[b"almondgap-request"]
        return head + b"\r\n" + path
