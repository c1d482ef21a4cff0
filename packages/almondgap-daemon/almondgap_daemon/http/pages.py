"""A handler for small pages that are made at once."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

from attrs import Factory, define, frozen

from almondgap_daemon.http.server import Exchange


@frozen
class Page:
    """An answer made at once.

    :ivar kind: media type of the body.
    """

    status: int
    body: bytes = b""
    kind: str = "text/plain"


MakePage = Callable[[dict[str, str]], Page]


@define
class Pages:
    """Answers requests by path; each page is a function of the query."""

    pages: dict[str, MakePage] = Factory(dict)

    def arrived(self, exchange: Exchange) -> None:
        """Answer with the page that the path names."""
        try:
            parts = urlsplit(exchange.target.decode("ascii"))
            query = dict(parse_qsl(parts.query))
        except (UnicodeDecodeError, ValueError):
            self._answer(exchange, Page(400, b"no such path"))
            return
        make = self.pages.get(parts.path)
        if make is None:
            self._answer(exchange, Page(404, b"no such page"))
        elif exchange.method not in (b"GET", b"HEAD"):
            self._answer(exchange, Page(405, b"only GET"))
        else:
            self._answer(exchange, make(query))

    def left(self, exchange: Exchange) -> None:
        """Nothing is to be undone."""

    def _answer(self, exchange: Exchange, page: Page) -> None:
        headers = [
            (b"Content-Type", page.kind.encode()),
            (b"Content-Length", str(len(page.body)).encode()),
        ]
        body = b"" if exchange.method == b"HEAD" else page.body
        exchange.answer(page.status, b"", headers, body)
