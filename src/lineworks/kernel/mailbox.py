"""Mailboxes: a task handles its messages one at a time, in order."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Hands messages to a handler, never one inside another.

    A message posted while the handler runs waits until the handler has returned.
    """

    def __init__(self, handler: Callable[[T], None]) -> None:
        """Start empty.

        Args:
            handler: Called with each message.
        """
        self._handler = handler
        self._waiting: collections.deque[T] = collections.deque()
        self._is_running = False

    def post(self, message: T) -> None:
        """Hand over a message.

        Args:
            message: The message.
        """
        self._waiting.append(message)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._waiting:
                self._handler(self._waiting.popleft())
        finally:
            self._is_running = False
