"""Where several nodes say different things."""

from collections.abc import Callable, Iterator, Mapping, Sequence

from figdoor_ctl.status._reading import Facts, Rows

_ABSENT = 'none'
_SUBJECTS: Mapping[str, Callable[[Facts], object]] = {
    'revision': lambda facts: facts.revision,
    'state': lambda facts: facts.state.value,
    'findings': lambda facts: '; '.join(facts.findings) or _ABSENT,
}
_TABLES: Mapping[str, Callable[[Facts], Rows]] = {
    'routes': lambda facts: facts.routes,
    'pools': lambda facts: facts.pools,
}

# What each node says, by its address.
_Said = Mapping[str, object]


def differences(nodes: Mapping[str, Facts]) -> Iterator[str]:
    """Return one line for each fact on which the nodes disagree."""
    for subject, read in _SUBJECTS.items():
        said = {address: read(facts) for address, facts in nodes.items()}
        yield from _difference(subject, said)
    for table, read_rows in _TABLES.items():
        tables = {address: read_rows(one) for address, one in nodes.items()}
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
        found = {
            address: rows[name]
            for address, rows in tables.items()
            if name in rows
        }
        for column in _keys(list(found.values())):
            cells = {
                address: row.get(column, _ABSENT)
                for address, row in found.items()
            }
            yield from _difference(f'{table}, row {name}, {column}', cells)


def _difference(subject: str, said: _Said) -> Iterator[str]:
    groups: dict[str, list[str]] = {}
    for address, fact in said.items():
        groups.setdefault(str(fact), []).append(address)
    if len(groups) > 1:
        parts = (
            f'{fact} on {", ".join(addresses)}'
            for fact, addresses in groups.items()
        )
        yield f'{subject}: {"; ".join(parts)}'


def _keys(mappings: Sequence[Mapping[str, object]]) -> Sequence[str]:
    """Return all keys once, in the order of their first appearance."""
    return tuple(dict.fromkeys(key for one in mappings for key in one))
