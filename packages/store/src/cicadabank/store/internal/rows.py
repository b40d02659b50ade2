"""Rows and transactions, each write marked with the operation that made it."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Row(NamedTuple):
    """A stored row.

    Attributes
    ----------
    version : int
        Grows with each write; 0 if the row doesn't exist.
    operation : str
        The operation that wrote this version.
    """

    key: str
    value: bytes
    version: int
    operation: str = ""

    @property
    def exists(self) -> bool:
        """Whether the row is stored."""
        return self.version > 0


class Transaction(NamedTuple):
    """Writes that take effect together, if every condition holds.

    Attributes
    ----------
    operation : str
        Identifies the write, so that its author recognises it after a lost answer.
    conditions : dict of str to int
        The version that each row must have; 0 for a row that must not exist.
    """

    operation: str
    conditions: dict[str, int]
    puts: dict[str, bytes]
    deletes: tuple[str, ...] = ()


class Envelope(msgspec.Struct):
    """What is stored in a row: the author's operation and the value."""

    operation: str
    value: msgspec.Raw


def seal(operation: str, value: bytes) -> bytes:
    """Wrap a JSON value with its operation."""
    return msgspec.json.encode(Envelope(operation, msgspec.Raw(value)))


def unseal(key: str, data: bytes, version: int) -> Row:
    """Read a stored row."""
    if version == 0:
        return Row(key, b"", 0)
    envelope = msgspec.json.decode(data, type=Envelope)
    return Row(key, bytes(envelope.value), version, envelope.operation)


def put_new(operation: str, puts: dict[str, bytes]) -> Transaction:
    """Return a transaction that creates rows which must not exist yet."""
    return Transaction(operation, dict.fromkeys(puts, 0), puts)
