"""Writes claims of idempotency keys to the platform, grouped by bucket."""

from __future__ import annotations

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

MARGIN = 0.02
"""Seconds of a request's time that must be left after its claim."""

_log = structlog.get_logger(component="claim_writer")


class _Wanted:
    """A claim that waits to be written."""

    def __init__(self, claim: claims.Claim, deadline: float) -> None:
        self.claim = claim
        self.deadline = deadline
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
        bucket = claims.bucket_of(claim.key)
        wanted = _Wanted(claim, deadline)
        self._waiting.setdefault(bucket, []).append(wanted)
        if bucket not in self._writing:
            self._writing.add(bucket)
            self._reactor.callLater(GROUP_SECONDS, self._begin, bucket)
        return wanted.done

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
            except claims.FullBucketError as error:
                self._refuse(group, verdict.Reason.OVERLOADED, str(error))
                return
            await task.sleep(self._reactor, pause * (0.5 + self._rng.random()))
            pause *= 2
        self._refuse(group, verdict.Reason.PLATFORM_UNSURE, reason)

    async def _try_group(self, bucket: str, group: list[_Wanted]) -> bool:
        value = await self._platform.get(bucket)
        merged = claims.merge(value.data, [w.claim for w in group], self._wall_clock())
        held = claims.parse_bucket(value.data)
        is_written = all(
            claim.key in held and held[claim.key].nonce == claim.nonce for claim in merged.won
        )
        if not is_written and not await self._platform.compare_and_swap(
            bucket, merged.data, value.revision
        ):
            return False
        for wanted in group:
            wanted.done.callback(merged.lost.get(wanted.claim.nonce, wanted.claim))
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
