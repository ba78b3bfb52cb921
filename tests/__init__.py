"""Tests of thymeknot.

Hypothesis draws the same examples in each run and has no deadline, so that no run fails by chance
or because the machine is slow.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "suite",
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("suite")
