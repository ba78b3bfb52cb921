"""No run fails by chance: what is drawn is the same each time, and no draw is held to a time of the machine's clock."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "suite",
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("suite")
