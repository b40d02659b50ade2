"""Rows and transactions; each row stores the id of the operation that wrote it."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Row(NamedTuple):
    """A row read by a `TableClient`.

    Attributes
    ----------
    version : int
        Increases with each write; 0 if the row doesn't exist.
    operation : str
        Id of the operation that wrote this version.
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
    """Writes that are applied atomically if every condition holds.

    Attributes
    ----------
    operation : str
        Id by which the writer recognises its write after a lost reply.
    conditions : dict of str to int
        The version that each row must have; 0 for a row that must not exist.
    """

    operation: str
    conditions: dict[str, int]
    puts: dict[str, bytes]
    deletes: tuple[str, ...] = ()


class Envelope(msgspec.Struct):
    """The stored form of a row: the id of its operation, and the value."""

    operation: str
    value: msgspec.Raw


def encode_value(operation: str, value: bytes) -> bytes:
    """Return the stored form of a JSON value and the id of its operation."""
    return msgspec.json.encode(Envelope(operation, msgspec.Raw(value)))


def decode_row(key: str, data: bytes, version: int) -> Row:
    """Return the row for stored data; version 0 marks a missing row."""
    if version == 0:
        return Row(key, b"", 0)
    envelope = msgspec.json.decode(data, type=Envelope)
    return Row(key, bytes(envelope.value), version, envelope.operation)


def put_new(operation: str, puts: dict[str, bytes]) -> Transaction:
    """Return a transaction that creates rows, on condition that none exists."""
    return Transaction(operation, dict.fromkeys(puts, 0), puts)
