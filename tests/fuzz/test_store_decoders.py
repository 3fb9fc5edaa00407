"""Decoders of what others write into the store, on odd and hostile input.

Guards against an entry that ends a process or keeps it from following the
others: nothing but ``DecodingError`` may leave a decoder.
"""

import json
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_decoder import ROUTE, SERVICE, TENANT, Rig, configuration
from test_entries import ENTRY

from figdoor_kernel import Era, ItemRejected, ItemsRead, PublishedItem
from figdoor_platform._configuration import read_configuration
from figdoor_platform._entries import read_entry
from figdoor_platform._store_source import read_items
from figdoor_platform._values import DecodingError

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(codec=None), max_size=20)
    | st.sampled_from(['1e400s', '10.0.0.1:99999', '9' * 5000, '1' * 400]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
ITEM = {'Key': 'servers/i-1', 'Revision': 7, 'Value': 'e30='}


def decode_entry(content):
    read_entry('servers/i-1', content, 0)


def decode_configuration(content):
    read_configuration(content, 3, frozenset())


def is_decoded_or_refused(decode, content):
    try:
        decode(content)
    except DecodingError:
        return True
    return True


class TestDecoders:
    @given(content=st.binary(max_size=60))
    @pytest.mark.parametrize('decode', [decode_entry, decode_configuration])
    def test_raw_bytes_raise_only_decoding_errors(self, decode, content):
        assert is_decoded_or_refused(decode, content)

    @given(name=st.sampled_from(sorted(ENTRY)), value=JSON_VALUES)
    def test_entry_with_one_odd_field(self, name, value):
        content = json.dumps({**ENTRY, name: value}).encode()
        assert is_decoded_or_refused(decode_entry, content)

    @given(name=st.sampled_from(sorted(ROUTE)), value=JSON_VALUES)
    def test_configuration_with_one_odd_field_of_a_route(self, name, value):
        content = configuration({**ROUTE, name: value})
        assert is_decoded_or_refused(decode_configuration, content)

    @given(name=st.sampled_from(sorted(SERVICE)), value=JSON_VALUES)
    def test_configuration_with_one_odd_field_of_a_service(self, name, value):
        content = configuration(Services=[{**SERVICE, name: value}])
        assert is_decoded_or_refused(decode_configuration, content)

    @given(name=st.sampled_from(sorted(TENANT)), value=JSON_VALUES)
    def test_configuration_with_one_odd_field_of_a_tenant(self, name, value):
        content = configuration(Tenants=[TENANT, {**TENANT, name: value}])
        assert is_decoded_or_refused(decode_configuration, content)

    @given(tenants=JSON_VALUES, is_public=JSON_VALUES)
    def test_configuration_with_odd_tenants(self, tenants, is_public):
        path = {**ROUTE, 'Public': is_public}
        content = configuration(path, Tenants=tenants)
        assert is_decoded_or_refused(decode_configuration, content)

    @pytest.mark.parametrize('field', sorted(ENTRY))
    @pytest.mark.parametrize('distance', range(0, 200, 5))
    def test_nesting_around_the_recursion_limit(self, field, distance):
        """Guards against an error message that fails on what was decoded."""
        depth = sys.getrecursionlimit() - distance
        nested = '[' * depth + ']' * depth
        fields = {**ENTRY, field: 'NESTED'}
        content = json.dumps(fields).replace('"NESTED"', nested).encode()
        assert is_decoded_or_refused(decode_entry, content)

    @given(name=st.sampled_from(sorted(ITEM)), value=JSON_VALUES)
    def test_one_odd_item_leaves_the_others(self, name, value):
        others = [{**ITEM, 'Key': f'servers/o-{number}'} for number in (1, 2)]
        rows = [others[0], {**ITEM, name: value}, others[1]]
        keys = [item.key for item in read_items(rows, Era(0), lambda *_: None)]
        assert {'servers/o-1', 'servers/o-2'} <= set(keys)


class TestFollowing:
    @pytest.mark.parametrize(
        'content',
        [
            json.dumps({**ENTRY, 'Address': '10.0.0.9:' + '9' * 5000}).encode(),
            json.dumps({**ENTRY, 'Capacity': 10**400}).encode(),
            b'[' * 100_000,
            b'{"State": ' + b'[' * 960 + b']' * 960 + b'}',
        ],
    )
    def test_odd_entry_beside_others_is_the_only_one_ignored(self, content):
        """Guards against one entry that keeps the others from being read."""
        rig = Rig()
        rejected = []
        rig.node.events.subscribe(ItemRejected, rejected.append)
        proper = json.dumps(ENTRY).encode()
        items = (
            PublishedItem('servers/i-1', 3, proper),
            PublishedItem('servers/odd', 4, content),
            PublishedItem('servers/i-2', 5, proper),
        )
        rig.node.events.publish(ItemsRead(items, 5, True, True, 0))
        rig.publish('servers/i-3', 6, proper)
        listed = [vm.upstream_id for vm in rig.node.fleet.upstreams()]
        assert listed == ['i-1', 'i-2', 'i-3']
        assert [event.key for event in rejected] == ['servers/odd']
