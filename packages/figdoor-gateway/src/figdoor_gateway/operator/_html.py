"""Renders the status of the node as an HTML page.

The page contains the same information as ``/in-force``.
"""

from collections.abc import Iterator, Mapping, Sequence
from html import escape
from typing import Any

_STYLE = (
    'body{font-family:sans-serif;max-width:75em;margin:2em auto;padding:0 1em}'
    'table{border-collapse:collapse}'
    'td,th{border:1px solid #bbb;padding:.2em .6em;text-align:left}'
    '.bad{color:#a00}'
)
_TABLES = ('availability_zones', 'routes', 'pools', 'tenants', 'upstreams')


def render_page(status: Mapping[str, Any]) -> str:
    """Return the page for a status from ``NodeStatus.describe``."""
    title = f'figdoor {escape(str(status["node"]))}'
    parts = [
        f'<h1>{title}</h1>',
        _paragraph(_state(status)),
        _list(status['not_ready_because']),
        _paragraph(_tables(status)),
        *_refusal(status),
        _paragraph('The same facts as JSON: /in-force. Metrics: /metrics.'),
        *(_section(name, status[name]) for name in _TABLES),
    ]
    head = (
        f'<meta charset="utf-8"><title>{title}</title><style>{_STYLE}</style>'
    )
    body = '\n'.join(part for part in parts if part)
    return f'<!doctype html><html lang="en">{head}\n{body}\n</html>\n'


def _state(status: Mapping[str, Any]) -> str:
    return (
        f'Node {status["node"]} in availability zone '
        f'{status["availability_zone"]} has been {status["state"]} since '
        f'{status["state_since"]}; it started at '
        f'{status["started_at"]}. The VM list names '
        f'{status["nodes"]} nodes.'
    )


def _tables(status: Mapping[str, Any]) -> str:
    if not status['revision']:
        return 'No tables are in force.'
    zones = ', '.join(status['evacuated']) or 'none'
    return (
        f'Revision {status["revision"]} of the tables has been in force since '
        f'{status["accepted_at"]}: {len(status["routes"])} routes, '
        f'{len(status["pools"])} pools, '
        f'{len(status["upstreams"])} upstreams. Evacuated zones: {zones}.'
    )


def _refusal(status: Mapping[str, Any]) -> Iterator[str]:
    findings = status['findings']
    if findings:
        yield _paragraph(
            f'Revision {status["refused_revision"]} was refused at '
            f'{status["refused_at"]} with {len(findings)} findings:',
        )
        yield _list(findings)


def _paragraph(text: str) -> str:
    return f'<p>{escape(text)}</p>'


def _list(lines: Sequence[str]) -> str:
    rendered = ''.join(f'<li>{escape(line)}</li>' for line in lines)
    return f'<ul class="bad">{rendered}</ul>' if rendered else ''


def _section(name: str, rows: Sequence[Mapping[str, Any]]) -> str:
    title = f'<h2>{name.replace("_", " ").capitalize()} ({len(rows)})</h2>'
    if not rows:
        return f'{title}<p>none</p>'
    head = ''.join(f'<th>{escape(column)}</th>' for column in rows[0])
    body = '\n'.join(f'<tr>{_cells(row)}</tr>' for row in rows)
    return f'{title}<table><tr>{head}</tr>\n{body}</table>'


def _cells(row: Mapping[str, Any]) -> str:
    return ''.join(f'<td>{escape(str(cell))}</td>' for cell in row.values())
