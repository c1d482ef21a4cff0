"""A small HTTP/1.1 server for stand-ins, with one handler and kept connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A request that was read whole; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        return dict(parse_qsl(urlsplit(self.target).query))


@dataclass
class Response:
    """A response; status 0 leaves the request without any."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


Handler = Callable[[Request], Awaitable[Response]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve requests; a connection whose request gets no response says no more."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                response = await handler(Request(method, target, head[1], body))
                if response.status == 0:
                    await reader.read()
                    return
                writer.write(encode(response))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, host, port, limit=65_536)


def encode(response: Response) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}"]
    headers = {**response.headers, "Content-Length": str(len(response.body))}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body
