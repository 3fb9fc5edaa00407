"""The figdoor load balancer process, with everything that does I/O."""
