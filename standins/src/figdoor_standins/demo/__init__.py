"""``make demo``: sends requests through two gateways and injects failures."""
