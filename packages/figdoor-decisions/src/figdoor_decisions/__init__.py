"""Policy plug-ins of figdoor.

Each subpackage is a plug-in with one or more ``register`` functions. None of
them does any I/O: time, randomness and all inputs are passed in.
"""
