"""A request handler for small pages that are generated synchronously."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

from attrs import Factory, define, frozen

from almondgap_daemon.http.server import Exchange


@frozen
class Page:
    """The content of a page."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


PageFunction = Callable[[dict[str, str]], Page]


@define
class PageHandler:
    """Serves pages by path; each page is a function of the query parameters."""

    pages: dict[str, PageFunction] = Factory(dict)

    def handle_request(self, exchange: Exchange) -> None:
        """Respond with the page at the request's path."""
        try:
            parts = urlsplit(exchange.target.decode("ascii"))
            query = dict(parse_qsl(parts.query))
        except (UnicodeDecodeError, ValueError):
            self._respond(exchange, Page(400, b"no such path"))
            return
        make_page = self.pages.get(parts.path)
        if make_page is None:
            self._respond(exchange, Page(404, b"no such page"))
        elif exchange.method not in (b"GET", b"HEAD"):
            self._respond(exchange, Page(405, b"only GET"))
        else:
            self._respond(exchange, make_page(query))

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Do nothing: pages are answered at once."""

    def _respond(self, exchange: Exchange, page: Page) -> None:
        headers = [
            (b"Content-Type", page.content_type.encode()),
            (b"Content-Length", str(len(page.body)).encode()),
        ]
        body = b"" if exchange.method == b"HEAD" else page.body
        exchange.respond(page.status, b"", headers, body)
