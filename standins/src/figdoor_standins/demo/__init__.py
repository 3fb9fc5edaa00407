"""``make demo``: real requests through two gateways while parts fail."""
