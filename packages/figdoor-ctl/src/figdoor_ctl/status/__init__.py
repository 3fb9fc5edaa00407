"""Reads, compares and renders the status of several nodes."""

from figdoor_ctl.status._comparing import differences
from figdoor_ctl.status._fetching import Fetch, fetch_all
from figdoor_ctl.status._reading import NodeReport, NodeStatus, parse_report
from figdoor_ctl.status._rendering import render_node

__all__ = (
    'Fetch',
    'NodeReport',
    'NodeStatus',
    'differences',
    'fetch_all',
    'parse_report',
    'render_node',
)
