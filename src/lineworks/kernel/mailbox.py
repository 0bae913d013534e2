"""A message queue whose handler processes one message at a time, in order."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Passes messages to a handler without reentrancy.

    A message posted while the handler runs is queued until the handler returns.
    """

    def __init__(self, handler: Callable[[T], None]) -> None:
        """Initialise with an empty queue.

        Args:
            handler: Called with each message.
        """
        self._handler = handler
        self._queue: collections.deque[T] = collections.deque()
        self._is_running = False

    def post(self, message: T) -> None:
        """Queue a message, and process the queue unless the handler is already running.

        Args:
            message: The message.
        """
        self._queue.append(message)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._queue:
                self._handler(self._queue.popleft())
        finally:
            self._is_running = False
