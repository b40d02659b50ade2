"""Keys of the rows in the platform's table service."""

from __future__ import annotations


class Key:
    """Keys of the rows, and the key prefixes used for scans.

    Each prefix ends in a slash.
    """

    CONFIG_HEAD = "config/head"
    CONFIG_RESOURCES = "config/resource/"
    ENTRIES = "entry/"
    CELLS = "cell/"
    SUMMARIES = "summary/"
    TALLIES = "tally/"
    IN_FORCE = "in-force/"

    @staticmethod
    def job(job: str) -> str:
        """Return the key of a job's record."""
        return f"job/{job}"

    @staticmethod
    def queue(cell: str, job: str = "") -> str:
        """Return the key of a job in a cell's queue index, or the index's prefix."""
        return f"queue/{cell}/{job}"

    @staticmethod
    def answer(job: str) -> str:
        """Return the key of a job's answer that is stored inline in the table."""
        return f"answer/{job}"

    @staticmethod
    def cell(cell: str) -> str:
        """Return the key of the row that names a cell's holder."""
        return f"cell/{cell}"

    @staticmethod
    def summary(cell: str) -> str:
        """Return the key of the summary that a cell's holder publishes."""
        return f"summary/{cell}"

    @staticmethod
    def workers(cell: str) -> str:
        """Return the key of the worker list that a cell's holder publishes."""
        return f"workers/{cell}"

    @staticmethod
    def tally(minute: int, entry: str) -> str:
        """Return the key of an entry's request counts for one minute."""
        return f"tally/{minute:010d}/{entry}"

    @staticmethod
    def in_force(entry: str) -> str:
        """Return the key of the configuration versions in force at an entry."""
        return f"in-force/{entry}"

    @staticmethod
    def entry(entry: str) -> str:
        """Return the key of an entry's session row."""
        return f"entry/{entry}"

    @staticmethod
    def idempotency(workspace: str, key: str) -> str:
        """Return the key of the row that stores a used idempotency key."""
        return f"idempotency/{workspace}/{key}"

    @staticmethod
    def request(request: str) -> str:
        """Return the key of a request's record."""
        return f"request/{request}"

    @staticmethod
    def config_log(version: int) -> str:
        """Return the key of the configuration change that made `version`."""
        return f"config/log/{version:012d}"

    @staticmethod
    def resource(kind: str, name: str) -> str:
        """Return the key of a configuration resource."""
        return f"config/resource/{kind}/{name}"

    @staticmethod
    def workspace_index(workspace: str, job: str = "") -> str:
        """Return the key of a job in a workspace's index, or the index's prefix."""
        return f"workspace-job/{workspace}/{job}"
