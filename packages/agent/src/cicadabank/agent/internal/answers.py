"""Uploads of large answers in threads outside of the agent's actor."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor

from cicadabank.store import ObjectClient, PlatformError
from loguru import logger

MAX_CONCURRENT_UPLOADS = 4


class AnswerUploader:
    """Uploads answers in threads; callers poll until an answer is stored.

    Parameters
    ----------
    objects : ObjectClient
        Client of the object service that stores the answers.
    target : str
        Name of the target, part of each key.
    """

    def __init__(self, objects: ObjectClient, target: str):
        self._objects = objects
        self._target = target
        self._uploads: dict[str, Future] = {}
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_UPLOADS)

    def upload_answer(self, attempt: str, answer: bytes) -> str:
        """Return the object key of an answer, or an empty string until it is stored.

        The first call starts the upload. After a failed upload the next call starts it
        again.
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
                "answer not uploaded; the next poll retries it: {}", error
            )
            return ""
        if error is not None:
            raise error
        return key

    def close(self) -> None:
        """Wait until running uploads have ended."""
        self._pool.shutdown(wait=True)
