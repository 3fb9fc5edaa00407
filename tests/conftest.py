"""Settings that hold for all tests."""

from hypothesis import HealthCheck, settings

# The same examples on every run, and no verdict that depends on speed.
settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('ci')
