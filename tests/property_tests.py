"""One profile for all property tests: the same inputs in every run, and no state left over.

`--hypothesis-profile=fuzz` draws other inputs each time, for runs by hand.
"""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

PROFILE = "same-inputs"
"""What CI and `make test` run with."""

FUZZ_PROFILE = "fuzz"
"""Inputs by a new seed in every run."""

FUZZ_EXAMPLES = 5_000
"""Inputs of one test under the fuzz profile: some seconds a test."""

_is_warm = False


def install():
    """Register the profiles and put the one of `make test` in force."""
    # No deadline of one input: it would make the verdict depend on what else the machine does.
    # No check is left out: where the variable CI is set, the library's own profile leaves out the
    # one for slow generators, and a profile takes over what it doesn't name.
    usual = {"deadline": None, "database": None, "suppress_health_check": ()}
    hypothesis.settings.register_profile(PROFILE, derandomize=True, **usual)
    hypothesis.settings.register_profile(
        FUZZ_PROFILE, derandomize=False, max_examples=FUZZ_EXAMPLES, **usual
    )
    hypothesis.settings.load_profile(PROFILE)


def prepare(item):
    """Build the tables of characters before the first property test, outside its health checks.

    The first draw of text builds them, which took two to four seconds on a fresh clone: the check
    that input is made quickly failed, and passed from the second run on, since they are kept on
    disk. Only this one draw is excused; a test whose own generator is slow still fails.
    """
    global _is_warm
    if _is_warm or not hypothesis.is_hypothesis_test(getattr(item, "obj", None)):
        return
    _is_warm = True
    quick = hypothesis.settings(
        max_examples=1, suppress_health_check=[hypothesis.HealthCheck.too_slow]
    )
    hypothesis.find(strategies.text(min_size=1), lambda text: True, settings=quick)
