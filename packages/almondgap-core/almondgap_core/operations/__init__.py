"""Operations: at-most-once execution of non-idempotent requests.

An operation is identified by the caller's ``Idempotency-Key``. Each key belongs to one
book, a set of records for one partition and lease epoch. The host that has the book
grants one permit per operation; only the request with the permit is sent to a target.
"""
