"""What is in force as a page for people.

The page says in words what ``/in-force`` says as JSON, and nothing else.
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
_TABLES = ('availability_zones', 'routes', 'pools', 'upstreams')


def render_page(described: Mapping[str, Any]) -> str:
    """Return the page for the facts of ``InForce.describe``."""
    title = f'figdoor {escape(str(described["node"]))}'
    parts = [
        f'<h1>{title}</h1>',
        _paragraph(_state(described)),
        _list(described['not_ready_because']),
        _paragraph(_tables(described)),
        *_refusal(described),
        _paragraph('The same facts as JSON: /in-force. Metrics: /metrics.'),
        *(_section(name, described[name]) for name in _TABLES),
    ]
    head = (
        f'<meta charset="utf-8"><title>{title}</title><style>{_STYLE}</style>'
    )
    body = '\n'.join(part for part in parts if part)
    return f'<!doctype html><html lang="en">{head}\n{body}\n</html>\n'


def _state(described: Mapping[str, Any]) -> str:
    return (
        f'Node {described["node"]} in availability zone '
        f'{described["availability_zone"]} is {described["state"]} since '
        f'{described["state_since"]}; it started at '
        f'{described["started_at"]}. The VM list names '
        f'{described["nodes"]} nodes.'
    )


def _tables(described: Mapping[str, Any]) -> str:
    if not described['revision']:
        return 'No tables are in force.'
    return (
        f'Revision {described["revision"]} of the tables is in force since '
        f'{described["accepted_at"]}: {len(described["routes"])} routes, '
        f'{len(described["pools"])} pools, '
        f'{len(described["upstreams"])} upstreams.'
    )


def _refusal(described: Mapping[str, Any]) -> Iterator[str]:
    findings = described['findings']
    if findings:
        yield _paragraph(
            f'Revision {described["refused_revision"]} was refused at '
            f'{described["refused_at"]} with {len(findings)} findings:',
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
