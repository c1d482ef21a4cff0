"""Books of operations: creates and finds books, and drops expired records.

A new holder waits a short time for books of earlier epochs. Operations whose book does
not arrive are treated as lost, since nobody can tell whether they ran.
"""

from __future__ import annotations

from almondgap_core.events import Tick
from almondgap_core.limits import leases
from almondgap_core.limits.leases import HeldLease
from almondgap_core.limits.partitions import Partition
from almondgap_core.operations.decision import Decision
from almondgap_core.operations.key import OperationPrefix
from almondgap_core.operations.record import RETENTION_WINDOWS, WINDOW_US, Book
from almondgap_core.operations.state import Takeover
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Time that a new holder waits for the books of earlier epochs.
TAKEOVER_WAIT_US = 2 * MICROS_PER_SECOND

#: Epoch of a partition's first holder, which has no earlier books to wait for.
FIRST_EPOCH = 1

#: Time between two passes that drop expired records.
SWEEP_INTERVAL_US = 5 * MICROS_PER_SECOND

#: Time after a takeover for which an empty book of an earlier epoch is kept. All
#: keys issued for the book have expired by then.
INHERITED_RETENTION_US = (RETENTION_WINDOWS + 2) * WINDOW_US


def find_book(
    state: HostState, prefix: OperationPrefix, held: HeldLease, now: int
) -> Book | Decision:
    """Return the book of a prefix, or the decision that follows from its absence.

    The book of the current epoch is created when it is first needed.

    :param held: this host's lease on the prefix's partition.
    """
    takeover = begin_takeover(state, held, now)
    book_id = (prefix.partition, prefix.epoch)
    book = state.operations.books.get(book_id)
    if book is not None:
        return Decision.MOVING if book.sealed else book
    if book_id in state.operations.transferred:
        return Decision.MOVING
    if prefix.epoch == held.epoch:
        book = Book(prefix.partition, held.epoch, now)
        state.operations.books[book_id] = book
        return book
    return Decision.MOVING if now < takeover.until else Decision.LOST


def begin_takeover(state: HostState, held: HeldLease, now: int) -> Takeover:
    """Return the takeover of a lease, and register it if it is new.

    Books of earlier epochs that this host has in custody become writable.
    """
    takeovers = state.operations.takeovers
    known = takeovers.get(held.partition)
    if known is not None and known.epoch == held.epoch:
        return known
    wait = 0 if held.epoch == FIRST_EPOCH else TAKEOVER_WAIT_US
    takeover = Takeover(held.epoch, now + wait)
    takeovers[held.partition] = takeover
    for (partition, epoch), book in state.operations.books.items():
        if partition == held.partition and epoch < held.epoch and not book.bound_to:
            book.sealed = False
    return takeover


def list_books(state: HostState, partition: Partition) -> list[Book]:
    """Return this host's books of a partition."""
    books = state.operations.books.values()
    return [book for book in books if book.partition == partition]


def handle_tick(state: HostState, event: Tick) -> None:
    """Drop the records of expired keys, and books that are no longer needed."""
    operations = state.operations
    if event.now < operations.next_sweep:
        return
    operations.next_sweep = event.now + SWEEP_INTERVAL_US
    for book_id, book in list(operations.books.items()):
        book.forget(event.now)
        if _is_obsolete(state, book, event.now):
            del operations.books[book_id]
    operations.records = sum(book.count() for book in operations.books.values())
    operations.answer_bytes = sum(map(_sum_answer_bytes, operations.books.values()))


def _sum_answer_bytes(book: Book) -> int:
    return sum(
        len(record.answer.body)
        for records in book.windows.values()
        for record in records.values()
        if record.answer is not None
    )


def _is_obsolete(state: HostState, book: Book, now: int) -> bool:
    if book.count() or book.sealed and not book.bound_to:
        return False
    held = leases.find_held(state, book.partition, now)
    if held is not None and held.epoch == book.epoch:
        return False
    takeover = state.operations.takeovers.get(book.partition)
    return takeover is None or now > takeover.until + INHERITED_RETENTION_US


EVENT_HANDLERS = {Tick: handle_tick}
