"""Writes claims of idempotency keys to the platform, batched by bucket.

The store may be restored from an older copy and lose claims that it had acknowledged. Each instance
then rewrites its recent claims. New claims are refused meanwhile, because a claim made by another
instance may still be missing.
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

BATCH_SECONDS = 0.003
"""Seconds for which claims of a bucket are collected before they are written in one batch."""

MAX_ATTEMPTS = 6
"""Maximum number of attempts to write a batch before its claims are refused."""

RETRY_SECONDS = 0.02
"""Initial delay between attempts in seconds; it doubles with each attempt and has jitter."""

RECOVERY_SECONDS = 3.0
"""Seconds for which new claims are refused after the store is restored from an older copy, and
after an instance's first contact with the store. By then, all instances have learned of the restore
and rewritten their claims."""

RECENT_CLAIM_SECONDS = 60.0
"""Seconds for which an instance keeps its own claims for a rewrite; copies of the store are a few
seconds old."""

DEADLINE_MARGIN = 0.02
"""Seconds that must remain before a request's deadline for its claim to be written."""

_RECOVERY_DETAIL = "the store came back from an older copy, and claims are being written again"

_log = structlog.get_logger(component="claim_writer")


class _PendingClaim:
    """A claim that has not been written yet."""

    def __init__(self, claim: claims.Claim, deadline: float, is_rewrite: bool = False) -> None:
        self.claim = claim
        self.deadline = deadline
        self.is_rewrite = is_rewrite
        self.done: defer.Deferred[claims.Claim | verdict.Verdict] = defer.Deferred()


class ClaimWriter:
    """Claims idempotency keys, with one write at a time for each bucket."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        platform: platform_client.PlatformClient,
        wall_clock: Callable[[], float],
    ) -> None:
        """Initialise without claims.

        Args:
            reactor: Twisted's reactor.
            rng: Source of jitter.
            platform: Client of the platform.
            wall_clock: Returns the time in seconds since the epoch.
        """
        self._reactor = reactor
        self._rng = rng
        self._platform = platform
        self._wall_clock = wall_clock
        self._queued: dict[str, list[_PendingClaim]] = {}
        self._active_buckets: set[str] = set()
        # Claims by this instance that are in effect, with the time at which each was written.
        self._recent_claims: collections.deque[tuple[float, claims.Claim]] = collections.deque()
        self._recovery_ends_at = 0.0
        platform.era.listeners.append(self._on_store_restored)
        # At start, an instance can't know whether the store has just been restored.
        platform.era.first_listeners.append(self._begin_recovery)

    def start(self) -> None:
        """Do nothing; claims are written on demand."""

    def stop(self) -> None:
        """Do nothing; claims are written on demand."""

    def claim(
        self, claim: claims.Claim, deadline: float
    ) -> defer.Deferred[claims.Claim | verdict.Verdict]:
        """Claim an idempotency key.

        Args:
            claim: The claim.
            deadline: Deadline of the request, in seconds on the reactor's clock.

        Returns:
            A deferred that fires with the claim in effect, which is a different one if the key was
            already claimed, or with a NOT_RUN verdict if the claim is not known to be in effect.
        """
        pending = _PendingClaim(claim, deadline)
        if self._is_recovering:
            self._refuse([pending], verdict.Reason.PLATFORM_UNSURE, _RECOVERY_DETAIL)
        else:
            self._enqueue(pending)
        return pending.done

    @property
    def _is_recovering(self) -> bool:
        return bool(self._reactor.seconds() < self._recovery_ends_at)

    def _enqueue(self, pending: _PendingClaim) -> None:
        bucket = claims.bucket_key(pending.claim.key)
        self._queued.setdefault(bucket, []).append(pending)
        if bucket not in self._active_buckets:
            self._active_buckets.add(bucket)
            self._reactor.callLater(BATCH_SECONDS, self._start_writing, bucket)

    def _on_store_restored(self) -> None:
        """Rewrite recent claims, and refuse new ones until all instances have rewritten theirs."""
        self._begin_recovery()
        self._drop_old_claims(self._reactor.seconds())
        for _, claim in self._recent_claims:
            pending = _PendingClaim(claim, self._recovery_ends_at, is_rewrite=True)
            pending.done.addCallback(_check_rewrite, claim)
            self._enqueue(pending)

    def _begin_recovery(self) -> None:
        self._recovery_ends_at = self._reactor.seconds() + RECOVERY_SECONDS

    def _drop_old_claims(self, now: float) -> None:
        while self._recent_claims and self._recent_claims[0][0] < now - RECENT_CLAIM_SECONDS:
            self._recent_claims.popleft()

    def _record_claim(self, claim: claims.Claim) -> None:
        now = self._reactor.seconds()
        self._recent_claims.append((now, claim))
        self._drop_old_claims(now)

    def _start_writing(self, bucket: str) -> None:
        writing = defer.ensureDeferred(self._write_bucket(bucket))
        writing.addErrback(lambda failure: _log.error("claim_failed", error=str(failure.value)))

    async def _write_bucket(self, bucket: str) -> None:
        """Write batches until the bucket has no queued claims."""
        try:
            while self._queued.get(bucket):
                batch = self._queued.pop(bucket)
                await self._write_batch(bucket, batch)
        finally:
            self._active_buckets.discard(bucket)

    async def _write_batch(self, bucket: str, batch: list[_PendingClaim]) -> None:
        reason = "the bucket changed too often"
        delay = RETRY_SECONDS
        for _ in range(MAX_ATTEMPTS):
            batch = self._refuse_expired(batch)
            if not batch:
                return
            try:
                if await self._try_batch(bucket, batch):
                    return
            except platform_client.PlatformError as error:
                self._refuse(batch, verdict.Reason.PLATFORM_DOWN, str(error))
                return
            except platform_client.PlatformUnsureError as error:
                # The next read of the bucket shows whether the claims were written.
                reason = str(error)
            except claims.BucketDamagedError as error:
                _log.error("claim_bucket_damaged", bucket=bucket, error=str(error))
                self._refuse(batch, verdict.Reason.PLATFORM_UNSURE, str(error))
                return
            except claims.BucketFullError as error:
                self._refuse(batch, verdict.Reason.OVERLOADED, str(error))
                return
            await task.sleep(self._reactor, delay * (0.5 + self._rng.random()))
            delay *= 2
        self._refuse(batch, verdict.Reason.PLATFORM_UNSURE, reason)

    async def _try_batch(self, bucket: str, batch: list[_PendingClaim]) -> bool:
        value = await self._platform.get(bucket)
        if self._is_recovering:
            # This read may have revealed the restore: a claim that it lacks may still be rewritten.
            new = [pending for pending in batch if not pending.is_rewrite]
            self._refuse(new, verdict.Reason.PLATFORM_UNSURE, _RECOVERY_DETAIL)
            batch[:] = [pending for pending in batch if pending.is_rewrite]
        if not batch:
            return True
        merged = claims.merge(value.data, [pending.claim for pending in batch], self._wall_clock())
        stored = claims.decode_bucket(value.data)
        is_written = all(
            claim.key in stored and stored[claim.key].nonce == claim.nonce for claim in merged.won
        )
        if not is_written and not await self._platform.compare_and_swap(
            bucket, merged.data, value.position
        ):
            return False
        for pending in batch:
            effective = merged.lost.get(pending.claim.nonce, pending.claim)
            if effective is pending.claim and not pending.is_rewrite:
                self._record_claim(effective)
            pending.done.callback(effective)
        return True

    def _refuse_expired(self, batch: list[_PendingClaim]) -> list[_PendingClaim]:
        limit = self._reactor.seconds() + DEADLINE_MARGIN
        expired = [pending for pending in batch if pending.deadline <= limit]
        self._refuse(expired, verdict.Reason.DEADLINE, "no time is left after the claim")
        return [pending for pending in batch if pending.deadline > limit]

    def _refuse(self, batch: list[_PendingClaim], reason: verdict.Reason, detail: str) -> None:
        text = f"{detail}; a ticket from /v1/tickets needs no platform"
        for pending in batch:
            pending.done.callback(verdict.not_run(reason, text))


def _check_rewrite(result: claims.Claim | verdict.Verdict, claim: claims.Claim) -> None:
    """Log an error if a claim could not be rewritten: its key may be claimed a second time."""
    if isinstance(result, verdict.Verdict):
        _log.error("claim_not_written_again", key=claim.key, reason=result.detail)
    elif result.nonce != claim.nonce:
        _log.error("claim_lost", key=claim.key, to=result.instance)
