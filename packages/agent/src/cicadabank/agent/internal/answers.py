"""Storing of large answers outside of the agent's task."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor

from cicadabank.store import ObjectClient, PlatformError
from loguru import logger

UPLOADS_AT_ONCE = 4


class AnswerKeeper:
    """Uploads answers in threads; asked again, it says which are stored.

    Parameters
    ----------
    objects : ObjectClient
        Where the answers go.
    target : str
        Name of the target, part of each key.
    """

    def __init__(self, objects: ObjectClient, target: str):
        self._objects = objects
        self._target = target
        self._uploads: dict[str, Future] = {}
        self._pool = ThreadPoolExecutor(UPLOADS_AT_ONCE)

    def keep(self, attempt: str, answer: bytes) -> str:
        """Return the key of a stored answer.

        Or an empty string while it is not stored.
        """
        key = f"answer/{attempt}/{self._target}"
        upload = self._uploads.get(attempt)
        if upload is None:
            self._uploads[attempt] = self._pool.submit(self._objects.store, key, answer)
            return ""
        if not upload.done():
            return ""
        del self._uploads[attempt]
        error = upload.exception()
        if isinstance(error, PlatformError):
            logger.bind(attempt=attempt).warning(
                "an answer could not be stored: {}", error
            )
            return ""
        if error is not None:
            raise error
        return key

    def close(self) -> None:
        """Wait for uploads to end."""
        self._pool.shutdown(wait=True)
