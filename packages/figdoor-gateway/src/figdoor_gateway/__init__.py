"""The figdoor load balancer process: everything that does I/O."""
