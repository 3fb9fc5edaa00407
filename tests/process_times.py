"""Durations shared by the process tests."""

# Time after which callers have requests in progress.
SETTLE_S = 0.4
