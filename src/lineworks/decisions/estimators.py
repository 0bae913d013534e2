"""Running estimates: decaying quantiles, moving averages and token budgets."""

from __future__ import annotations

import math

_GROWTH = 1.05
_LOG_GROWTH = math.log(_GROWTH)
_SMALLEST = 1e-4
_BUCKETS = 320
_REFRESH_EVERY = 50
_DECAY_EVERY = 2000
_MIN_SAMPLES = 50


class Quantiles:
    """Estimates quantiles of durations from a decaying histogram with buckets 5% wide.

    All counts are halved after every 2,000 samples, so that the estimate follows a changing
    system. Cached quantiles are recomputed after 50 samples.
    """

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0
        self._since_decay = 0
        self._since_refresh = _REFRESH_EVERY
        self._cache: dict[float, float] = {}

    @property
    def has_samples(self) -> bool:
        """Whether there are enough samples (50) for an estimate."""
        return self._total >= _MIN_SAMPLES

    def record(self, seconds: float) -> None:
        """Add one duration.

        Args:
            seconds: The duration; values below 0.1 ms count as 0.1 ms.
        """
        index = 0 if seconds <= _SMALLEST else int(math.log(seconds / _SMALLEST) / _LOG_GROWTH)
        self._counts[min(index, _BUCKETS - 1)] += 1.0
        self._total += 1.0
        self._since_decay += 1
        self._since_refresh += 1
        if self._since_decay >= _DECAY_EVERY:
            self._decay()

    def quantile(self, share: float) -> float:
        """Estimate a quantile.

        Args:
            share: Between 0 and 1, for example 0.95.

        Returns:
            Upper edge of the bucket, in seconds; 0 without samples.
        """
        if self._since_refresh >= _REFRESH_EVERY:
            self._cache.clear()
            self._since_refresh = 0
        found = self._cache.get(share)
        if found is None:
            found = self._cache[share] = self._scan(share)
        return found

    def _scan(self, share: float) -> float:
        wanted = self._total * share
        seen = 0.0
        for index, count in enumerate(self._counts):
            seen += count
            if count and seen >= wanted:
                return _SMALLEST * _GROWTH ** (index + 1)
        return 0.0

    def _decay(self) -> None:
        self._counts = [count / 2 for count in self._counts]
        self._total /= 2
        self._since_decay = 0


class MovingAverage:
    """An exponentially weighted moving average."""

    def __init__(self, weight: float) -> None:
        """Start without samples.

        Args:
            weight: Weight (0 to 1) of a new sample.
        """
        self._weight = weight
        self._has_samples = False
        self.value = 0.0
        """Current average; 0 without samples."""

    def record(self, sample: float) -> None:
        """Add one sample.

        Args:
            sample: Any number.
        """
        if self._has_samples:
            self.value += self._weight * (sample - self.value)
        else:
            self._has_samples = True
            self.value = sample


class TokenBudget:
    """Token bucket that regular work fills and extra work, such as a retry, draws from."""

    def __init__(self, burst: float, start: float | None = None) -> None:
        """Initialize the bucket.

        Args:
            burst: Maximum number of tokens.
            start: Initial tokens; defaults to `burst`.
        """
        self._burst = burst
        self._tokens = burst if start is None else start

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    def earn(self, tokens: float) -> None:
        """Add tokens for regular work.

        Args:
            tokens: Number to add, usually a fraction of one per piece of work.
        """
        self._tokens = min(self._burst, self._tokens + tokens)

    def spend(self) -> bool:
        """Take one token if there is one.

        Returns:
            Whether a token was taken.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
