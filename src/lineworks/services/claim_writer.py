"""Writes claims of idempotency keys to the platform, grouped by bucket.

The store may come back from an older copy without claims that it had acknowledged. Each instance
writes those that it made lately again; meanwhile keys are refused, since the claim of another
instance may be missing.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import defer

from lineworks.decisions import claims, verdict
from lineworks.kernel import task
from lineworks.services import platform_client

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

GROUP_SECONDS = 0.003
"""Seconds for which claims of a bucket are gathered before they are written together."""

MAX_TRIES = 6
"""Tries to write a bucket before its claims are refused."""

RETRY_SECONDS = 0.02
"""Seconds between tries at first, doubled each time, with jitter."""

SETTLE_SECONDS = 3.0
"""Seconds after the store's return from an older copy, and after an instance's first contact with
the store, in which keys are refused: all instances have heard of a return and written their claims
again by then."""

REMEMBERED_SECONDS = 60.0
"""Seconds for which own claims are remembered to be written again; the store's copies are some
seconds old."""

MARGIN = 0.02
"""Seconds of a request's time that must be left after its claim."""

_SETTLING = "the store came back from an older copy, and claims are being written again"

_log = structlog.get_logger(component="claim_writer")


class _Wanted:
    """A claim that waits to be written."""

    def __init__(self, claim: claims.Claim, deadline: float, is_again: bool = False) -> None:
        self.claim = claim
        self.deadline = deadline
        self.is_again = is_again
        self.done: defer.Deferred[claims.Claim | verdict.Verdict] = defer.Deferred()


class ClaimWriter:
    """Claims keys, a bucket at a time."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        platform: platform_client.PlatformClient,
        wall_clock: Callable[[], float],
    ) -> None:
        """Start without claims.

        Args:
            reactor: Twisted's reactor.
            rng: Source of jitter.
            platform: The platform.
            wall_clock: Tells seconds since the epoch.
        """
        self._reactor = reactor
        self._rng = rng
        self._platform = platform
        self._wall_clock = wall_clock
        self._waiting: dict[str, list[_Wanted]] = {}
        self._writing: set[str] = set()
        # Own claims that hold, with the time at which they were made.
        self._made: collections.deque[tuple[float, claims.Claim]] = collections.deque()
        self._settled_at = 0.0
        platform.era.listeners.append(self._on_store_return)
        # An instance that starts can't know whether the store has just come back.
        platform.era.first_listeners.append(self._settle)

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def claim(
        self, claim: claims.Claim, deadline: float
    ) -> defer.Deferred[claims.Claim | verdict.Verdict]:
        """Claim a key.

        Args:
            claim: The claim.
            deadline: When the caller stops waiting, in seconds on the reactor's clock.

        Returns:
            A deferred with the claim that holds, which is another one when the key was taken; or
            with a NOT_RUN verdict when the claim is not known to hold.
        """
        wanted = _Wanted(claim, deadline)
        if self._is_settling:
            self._refuse([wanted], verdict.Reason.PLATFORM_UNSURE, _SETTLING)
        else:
            self._enqueue(wanted)
        return wanted.done

    @property
    def _is_settling(self) -> bool:
        return bool(self._reactor.seconds() < self._settled_at)

    def _enqueue(self, wanted: _Wanted) -> None:
        bucket = claims.bucket_key(wanted.claim.key)
        self._waiting.setdefault(bucket, []).append(wanted)
        if bucket not in self._writing:
            self._writing.add(bucket)
            self._reactor.callLater(GROUP_SECONDS, self._begin, bucket)

    def _on_store_return(self) -> None:
        """Write the own claims again, and refuse keys until others have done so."""
        self._settle()
        self._forget_old(self._reactor.seconds())
        for _, claim in self._made:
            wanted = _Wanted(claim, self._settled_at, is_again=True)
            wanted.done.addCallback(_check_again, claim)
            self._enqueue(wanted)

    def _settle(self) -> None:
        self._settled_at = self._reactor.seconds() + SETTLE_SECONDS

    def _forget_old(self, now: float) -> None:
        while self._made and self._made[0][0] < now - REMEMBERED_SECONDS:
            self._made.popleft()

    def _remember(self, claim: claims.Claim) -> None:
        now = self._reactor.seconds()
        self._made.append((now, claim))
        self._forget_old(now)

    def _begin(self, bucket: str) -> None:
        writing = defer.ensureDeferred(self._write_bucket(bucket))
        writing.addErrback(lambda failure: _log.error("claim_failed", error=str(failure.value)))

    async def _write_bucket(self, bucket: str) -> None:
        """Write until no claim of the bucket waits."""
        try:
            while self._waiting.get(bucket):
                group = self._waiting.pop(bucket)
                await self._write_group(bucket, group)
        finally:
            self._writing.discard(bucket)

    async def _write_group(self, bucket: str, group: list[_Wanted]) -> None:
        reason = "the bucket changed too often"
        pause = RETRY_SECONDS
        for _ in range(MAX_TRIES):
            group = self._drop_late(group)
            if not group:
                return
            try:
                if await self._try_group(bucket, group):
                    return
            except platform_client.PlatformError as error:
                self._refuse(group, verdict.Reason.PLATFORM_DOWN, str(error))
                return
            except platform_client.PlatformUnsureError as error:
                # The next read of the bucket settles whether the claims were written.
                reason = str(error)
            except claims.BucketFullError as error:
                self._refuse(group, verdict.Reason.OVERLOADED, str(error))
                return
            await task.sleep(self._reactor, pause * (0.5 + self._rng.random()))
            pause *= 2
        self._refuse(group, verdict.Reason.PLATFORM_UNSURE, reason)

    async def _try_group(self, bucket: str, group: list[_Wanted]) -> bool:
        value = await self._platform.get(bucket)
        if self._is_settling:
            # Found out by this read, maybe: what it lacks proves nothing yet.
            new = [wanted for wanted in group if not wanted.is_again]
            self._refuse(new, verdict.Reason.PLATFORM_UNSURE, _SETTLING)
            group[:] = [wanted for wanted in group if wanted.is_again]
        if not group:
            return True
        merged = claims.merge(value.data, [w.claim for w in group], self._wall_clock())
        held = claims.decode_bucket(value.data)
        is_written = all(
            claim.key in held and held[claim.key].nonce == claim.nonce for claim in merged.won
        )
        if not is_written and not await self._platform.compare_and_swap(
            bucket, merged.data, value.position
        ):
            return False
        for wanted in group:
            found = merged.lost.get(wanted.claim.nonce, wanted.claim)
            if found is wanted.claim and not wanted.is_again:
                self._remember(found)
            wanted.done.callback(found)
        return True

    def _drop_late(self, group: list[_Wanted]) -> list[_Wanted]:
        limit = self._reactor.seconds() + MARGIN
        late = [wanted for wanted in group if wanted.deadline <= limit]
        self._refuse(late, verdict.Reason.DEADLINE, "no time is left after the claim")
        return [wanted for wanted in group if wanted.deadline > limit]

    def _refuse(self, group: list[_Wanted], reason: verdict.Reason, detail: str) -> None:
        text = f"{detail}; a ticket from /v1/tickets needs no platform"
        for wanted in group:
            wanted.done.callback(verdict.not_run(reason, text))


def _check_again(found: claims.Claim | verdict.Verdict, claim: claims.Claim) -> None:
    """Say that an own claim could not be written again: its key may be claimed once more."""
    if isinstance(found, verdict.Verdict):
        _log.error("claim_not_written_again", key=claim.key, reason=found.detail)
    elif found.nonce != claim.nonce:
        _log.error("claim_lost", key=claim.key, to=found.instance)
