"""Handover: moves books to another host, so that one host at a time can write each.

A new holder requests the books of earlier epochs; a stopping host asks others to take
custody of its books. The source first seals a book for one recipient, which then
fetches it page by page.
"""

from __future__ import annotations

from almondgap_core.effects import LogEntry, SendMessage
from almondgap_core.events import Tick
from almondgap_core.exceptions import MessageError
from almondgap_core.limits import leases
from almondgap_core.limits.division import rank
from almondgap_core.limits.partitions import Partition, list_partitions
from almondgap_core.membership.failure_detection import is_alive
from almondgap_core.operations.books import begin_takeover, list_books
from almondgap_core.operations.messages import (
    BookPage,
    BookReceived,
    BooksOffer,
    BooksRequest,
    CustodyRequest,
    PageRequest,
)
from almondgap_core.operations.record import Book, pack_records, unpack_records
from almondgap_core.operations.state import Fetch
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_MILLI

#: Time after which an unanswered request is sent again.
RETRY_US = 250 * MICROS_PER_MILLI

#: Hosts of other failure domains are asked for books in one round out of this many.
REMOTE_REQUEST_INTERVAL = 4

#: Requests for the same page after which a fetch is aborted.
MAX_FETCH_TRIES = 20

#: Estimated size of its records at which a page is complete; well below the size limit
#: of a message.
PAGE_BYTES = 131_072


def transfer_books(state: HostState, now: int) -> int:
    """Ask peers to take custody of this host's books; return how many remain."""
    operations = state.operations
    if now >= operations.next_custody:
        operations.next_custody = now + RETRY_US
        for book in operations.books.values():
            _request_custody(state, book, now)
    return len(operations.books)


def handle_tick(state: HostState, event: Tick) -> None:
    """Request the books of partitions taken over, and pages that are overdue."""
    if state.inventory is None:
        return
    for partition in list_partitions(state.inventory, state.failure_domain):
        held = leases.find_held(state, partition, event.now)
        if held is not None:
            _request_books(
                state, partition, begin_takeover(state, held, event.now), event
            )
    for book_id, fetch in list(state.operations.fetches.items()):
        if event.now >= fetch.next_try:
            _request_page(state, book_id, fetch, event.now)


def handle_books_request(
    state: HostState, host: str, message: BooksRequest, now: int
) -> None:
    """Seal the books of earlier epochs for the new holder, and offer them."""
    listed = state.members.listed.get(host)
    if listed is not None and listed.failure_domain != message.failure_domain:
        return
    partition = Partition(message.failure_domain, message.index)
    epochs = []
    for book in list_books(state, partition):
        if book.epoch < message.recipient_epoch and _seal_for(
            state, book, message.recipient
        ):
            epochs.append(book.epoch)
    if epochs:
        offer = BooksOffer(message.failure_domain, message.index, tuple(epochs))
        state.perform(SendMessage(host, offer))


def handle_books_offer(state: HostState, host: str, message: BooksOffer, now: int):
    """Start to fetch the offered books."""
    partition = Partition(message.failure_domain, message.index)
    takeover = state.operations.takeovers.get(partition)
    if takeover is None:
        return
    recipient = _make_recipient_name(state, str(takeover.epoch))
    for epoch in message.epochs:
        _begin_fetch(state, (partition, epoch), host, recipient, now)


def handle_custody_request(
    state: HostState, host: str, message: CustodyRequest, now: int
):
    """Start to fetch a book that a stopping host hands over for custody."""
    keeper = _make_recipient_name(state, "keep")
    if message.recipient != keeper or state.stopping:
        return
    book_id = (Partition(message.failure_domain, message.index), message.epoch)
    if book_id in state.operations.books:
        state.perform(SendMessage(host, _build_received(book_id, keeper)))
        return
    _begin_fetch(state, book_id, host, keeper, now)


def handle_page_request(
    state: HostState, host: str, message: PageRequest, now: int
) -> None:
    """Send a page of a sealed book to the host that it is bound to."""
    partition = Partition(message.failure_domain, message.index)
    book = state.operations.books.get((partition, message.epoch))
    if book is None or not book.sealed or book.bound_to != message.recipient:
        return
    if not message.recipient.startswith(f"{host}/"):
        return
    state.perform(SendMessage(host, _build_page(book, message.start, now)))


def handle_page(state: HostState, host: str, message: BookPage, now: int) -> None:
    """Add the records of a page; install the book once it is complete."""
    partition = Partition(message.failure_domain, message.index)
    book_id = (partition, message.epoch)
    fetch = state.operations.fetches.get(book_id)
    if fetch is None or fetch.source != host or message.start != len(fetch.entries):
        return
    try:
        fetch.entries.extend(unpack_records(message.records, now))
    except MessageError as exc:
        fields = (("peer", host), ("error", str(exc)))
        state.perform(LogEntry("operation records refused", fields))
        return
    if len(fetch.entries) >= message.total:
        _install(state, book_id, fetch, message, now)
        return
    fetch.tries = 0
    _request_page(state, book_id, fetch, now)


def handle_book_received(state: HostState, host: str, message: BookReceived, now: int):
    """Delete a book that its recipient has received completely."""
    book_id = (Partition(message.failure_domain, message.index), message.epoch)
    book = state.operations.books.get(book_id)
    if book is not None and book.sealed and book.bound_to == message.recipient:
        del state.operations.books[book_id]


def _request_books(
    state: HostState, partition: Partition, takeover, event: Tick
) -> None:
    if event.now >= takeover.until or event.now < takeover.next_try:
        return
    takeover.next_try = event.now + RETRY_US
    recipient = _make_recipient_name(state, str(takeover.epoch))
    request = BooksRequest(
        partition.failure_domain, partition.index, takeover.epoch, recipient
    )
    remote = takeover.tries % REMOTE_REQUEST_INTERVAL == 0
    takeover.tries += 1
    for entry in state.members.listed.values():
        local = entry.failure_domain == state.failure_domain
        if entry.name != state.host and (local or remote):
            state.perform(SendMessage(entry.name, request))


def _request_custody(state: HostState, book: Book, now: int) -> None:
    if not book.bound_to:
        keeper = _choose_custodian(state, book.partition, now)
        if keeper is None:
            return
        incarnation = state.members.peers[keeper].incarnation
        _seal(state, book, f"{keeper}/{incarnation}/keep")
    keeper = book.bound_to.partition("/")[0]
    partition = book.partition
    request = CustodyRequest(
        partition.failure_domain, partition.index, book.epoch, book.bound_to
    )
    state.perform(SendMessage(keeper, request))


def _choose_custodian(state: HostState, partition: Partition, now: int) -> str | None:
    """Return a live peer by rendezvous rank, if possible in the failure domain."""
    alive = [
        name
        for name, peer in state.members.peers.items()
        if not peer.stopping and is_alive(state, name, now)
        if name in state.members.listed
    ]
    domain = partition.failure_domain
    local = [n for n in alive if state.members.listed[n].failure_domain == domain]
    hosts = local or alive
    return rank(hosts, str(partition))[0] if hosts else None


def _seal_for(state: HostState, book: Book, recipient: str) -> bool:
    if book.sealed and book.bound_to:
        return book.bound_to == recipient
    _seal(state, book, recipient)
    return True


def _seal(state: HostState, book: Book, recipient: str) -> None:
    book.sealed = True
    book.bound_to = recipient
    state.operations.transferred[(book.partition, book.epoch)] = book.moves


def _begin_fetch(
    state: HostState, book_id, source: str, recipient: str, now: int
) -> None:
    operations = state.operations
    if book_id in operations.books or book_id in operations.fetches:
        return
    fetch = Fetch(source, recipient)
    operations.fetches[book_id] = fetch
    _request_page(state, book_id, fetch, now)


def _request_page(state: HostState, book_id, fetch: Fetch, now: int) -> None:
    fetch.tries += 1
    if fetch.tries > MAX_FETCH_TRIES:
        del state.operations.fetches[book_id]
        return
    fetch.next_try = now + RETRY_US
    partition, epoch = book_id
    request = PageRequest(
        partition.failure_domain,
        partition.index,
        epoch,
        fetch.recipient,
        len(fetch.entries),
    )
    state.perform(SendMessage(fetch.source, request))


def _build_page(book: Book, start: int, now: int) -> BookPage:
    entries = [
        (window, unique, record)
        for window, records in book.windows.items()
        for unique, record in records.items()
    ]
    partition = book.partition
    return BookPage(
        partition.failure_domain,
        partition.index,
        book.epoch,
        start,
        len(entries),
        now - book.opened,
        book.moves,
        book.forgotten,
        pack_records(_select_page(entries, start), now),
    )


def _select_page(entries: list, start: int) -> list:
    page = []
    size = 0
    for entry in entries[max(start, 0) :]:
        answer = entry[2].answer
        size += 256 + (len(answer.body) if answer else 0)
        page.append(entry)
        if size >= PAGE_BYTES:
            break
    return page


def _install(
    state: HostState, book_id, fetch: Fetch, message: BookPage, now: int
) -> None:
    operations = state.operations
    del operations.fetches[book_id]
    moves = message.moves + 1
    if book_id in operations.transferred and moves <= operations.transferred[book_id]:
        return
    partition, epoch = book_id
    book = Book(partition, epoch, now - message.age, moves=moves)
    book.forgotten = message.forgotten
    for window, unique, record in fetch.entries:
        book.windows.setdefault(window, {})[unique] = record
    book.sealed = _is_in_custody(state, partition, fetch, now)
    operations.books[book_id] = book
    operations.transferred.pop(book_id, None)
    state.perform(SendMessage(fetch.source, _build_received(book_id, fetch.recipient)))


def _is_in_custody(state: HostState, partition, fetch: Fetch, now: int) -> bool:
    held = leases.find_held(state, partition, now)
    return fetch.recipient.endswith("/keep") and held is None


def _build_received(book_id: tuple[Partition, int], recipient: str) -> BookReceived:
    partition, epoch = book_id
    return BookReceived(partition.failure_domain, partition.index, epoch, recipient)


def _make_recipient_name(state: HostState, purpose: str) -> str:
    return f"{state.host}/{state.incarnation}/{purpose}"


EVENT_HANDLERS = {Tick: handle_tick}
MESSAGE_HANDLERS = {
    BooksRequest: handle_books_request,
    BooksOffer: handle_books_offer,
    CustodyRequest: handle_custody_request,
    PageRequest: handle_page_request,
    BookPage: handle_page,
    BookReceived: handle_book_received,
}
