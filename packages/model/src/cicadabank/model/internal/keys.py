"""Keys of the rows in the platform's table service."""

from __future__ import annotations


class Key:
    """Builds the key of each kind of row.

    The prefixes are scanned, so they end in a slash.
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
        """Return the key of the queue index of a cell."""
        return f"queue/{cell}/{job}"

    @staticmethod
    def answer(job: str) -> str:
        """Return the key of a small answer."""
        return f"answer/{job}"

    @staticmethod
    def cell(cell: str) -> str:
        """Return the key of a cell's holder."""
        return f"cell/{cell}"

    @staticmethod
    def summary(cell: str) -> str:
        """Return the key of what a cell's holder tells others."""
        return f"summary/{cell}"

    @staticmethod
    def workers(cell: str) -> str:
        """Return the key of the workers of a cell."""
        return f"workers/{cell}"

    @staticmethod
    def tally(minute: int, entry: str) -> str:
        """Return the key of an entry's requests of a minute."""
        return f"tally/{minute:010d}/{entry}"

    @staticmethod
    def in_force(entry: str) -> str:
        """Return the key of the versions that an entry has seen."""
        return f"in-force/{entry}"

    @staticmethod
    def entry(entry: str) -> str:
        """Return the key of a live entry's session."""
        return f"entry/{entry}"

    @staticmethod
    def idempotency(workspace: str, key: str) -> str:
        """Return the key of an idempotency key."""
        return f"idempotency/{workspace}/{key}"

    @staticmethod
    def request(request: str) -> str:
        """Return the key of a request's record."""
        return f"request/{request}"

    @staticmethod
    def config_log(version: int) -> str:
        """Return the key of one accepted change."""
        return f"config/log/{version:012d}"

    @staticmethod
    def resource(kind: str, name: str) -> str:
        """Return the key of a resource."""
        return f"config/resource/{kind}/{name}"

    @staticmethod
    def workspace_index(workspace: str, job: str = "") -> str:
        """Return the key of the jobs of a workspace."""
        return f"workspace-job/{workspace}/{job}"
