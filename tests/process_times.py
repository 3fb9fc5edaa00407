"""Times that the process tests share."""

# Long enough for callers to have requests in progress.
SETTLE_S = 0.4
