"""Finds differences between the reports of several nodes."""

from collections.abc import Callable, Iterator, Mapping, Sequence

from figdoor_ctl.status._reading import NodeReport, Rows

_ABSENT = 'none'
_SUBJECTS: Mapping[str, Callable[[NodeReport], object]] = {
    'revision': lambda report: report.revision,
    'evacuated zones': lambda report: ', '.join(report.evacuated) or _ABSENT,
    'state': lambda report: report.state.value,
    'findings': lambda report: '; '.join(report.findings) or _ABSENT,
}
_TABLES: Mapping[str, Callable[[NodeReport], Rows]] = {
    'routes': lambda report: report.routes,
    'pools': lambda report: report.pools,
    'tenants': lambda report: report.tenants,
}

# The value of a field on each node, keyed by the address of the node.
_FieldValues = Mapping[str, object]


def differences(nodes: Mapping[str, NodeReport]) -> Iterator[str]:
    """Return a line for each field on which the nodes disagree."""
    for subject, read in _SUBJECTS.items():
        field_values = {
            address: read(report) for address, report in nodes.items()
        }
        yield from _difference(subject, field_values)
    for table, read_rows in _TABLES.items():
        tables = {
            address: read_rows(report) for address, report in nodes.items()
        }
        yield from _row_differences(table, tables)


def _row_differences(
    table: str,
    tables: Mapping[str, Rows],
) -> Iterator[str]:
    for name in _keys(list(tables.values())):
        present = {
            address: 'present' if name in rows else _ABSENT
            for address, rows in tables.items()
        }
        yield from _difference(f'{table}, row {name}', present)
        listed = {
            address: rows[name]
            for address, rows in tables.items()
            if name in rows
        }
        for column in _keys(list(listed.values())):
            cells = {
                address: row.get(column, _ABSENT)
                for address, row in listed.items()
            }
            yield from _difference(f'{table}, row {name}, {column}', cells)


def _difference(subject: str, field_values: _FieldValues) -> Iterator[str]:
    groups: dict[str, list[str]] = {}
    for address, field_value in field_values.items():
        groups.setdefault(str(field_value), []).append(address)
    if len(groups) > 1:
        parts = (
            f'{field_value} on {", ".join(addresses)}'
            for field_value, addresses in groups.items()
        )
        yield f'{subject}: {"; ".join(parts)}'


def _keys(mappings: Sequence[Mapping[str, object]]) -> Sequence[str]:
    """Return the distinct keys in order of first appearance."""
    return tuple(dict.fromkeys(key for mapping in mappings for key in mapping))
