"""Policy plug-ins of figdoor.

Each subpackage is one plug-in with a ``register`` function. None of them does
any I/O: time, randomness and all inputs are passed in.
"""
