"""What is in force on several nodes, and where they disagree."""

from figdoor_ctl.status._comparing import differences
from figdoor_ctl.status._fetching import Fetch, fetch_all
from figdoor_ctl.status._reading import Facts, NodeStatus, read_facts
from figdoor_ctl.status._rendering import render_node

__all__ = (
    'Facts',
    'Fetch',
    'NodeStatus',
    'differences',
    'fetch_all',
    'read_facts',
    'render_node',
)
