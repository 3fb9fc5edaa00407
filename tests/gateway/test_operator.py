"""The operator page and ``/in-force``: same content, and escaped."""

import json
from dataclasses import replace

from support import (
    POOLS,
    ROUTES,
    confirm_config,
    make_node,
    node_vm,
    publish_tables,
    publish_vm_list,
    upstream_vm,
)

from figdoor_gateway.lifecycle import Readiness
from figdoor_gateway.operator._html import render_page
from figdoor_gateway.operator._status import NodeStatus
from figdoor_kernel import (
    Extension,
    Revision,
    TablesAccepted,
    TablesOffered,
    Tick,
    UpstreamState,
    UpstreamStateChanged,
    VmState,
    digest_of_key,
)


class TestNodeStatus:
    """Guards against a page that differs from the JSON or runs scripts."""

    def setup_method(self):
        self.node = make_node()
        provide = self.node.registry.provide
        provide(Extension.SERVICE, 'readiness', Readiness)
        self.readiness = self.node.part(Extension.SERVICE, 'readiness')
        self.status = NodeStatus(self.node)
        # The only listed node may put its first tables in force.
        publish_vm_list(self.node, node_vm('n1'))

    def offer(self, revision, pools=POOLS):
        offer = TablesOffered(Revision(revision), ROUTES, pools, 0)
        self.node.events.publish(offer)

    def status_and_page(self):
        status = json.loads(json.dumps(self.status.describe()))
        return status, render_page(status)

    def test_node_without_tables_is_shown_as_not_ready(self):
        status, page = self.status_and_page()
        assert status['not_ready_because'] == ['starting: waits for tables']
        assert 'No tables are in force.' in page
        assert '<li>starting: waits for tables</li>' in page

    def test_page_shows_revision_and_start_of_the_tables_in_force(self):
        self.offer(3)
        confirm_config(self.node)
        publish_vm_list(
            self.node,
            node_vm('n1'),
            upstream_vm('w1'),
            upstream_vm('w2', 'z2', state=VmState.LEAVING),
        )
        self.node.events.publish(Tick(self.node.clock.now_ms()))
        status, page = self.status_and_page()
        since = status['accepted_at']
        assert since
        assert (
            f'Revision 3 of the tables has been in force since {since}' in page
        )
        assert '2 routes, 1 pools, 2 upstreams' in page
        assert status['state'] == 'ready'
        assert status['availability_zones'][1] == {
            'availability_zone': 'z2',
            'pools': 1,
            'live_upstreams': 0,
            'leaving_upstreams': 1,
        }

    def test_evacuated_zones_are_reported(self):
        """Guards against nodes that differ in a way no operator can see."""
        self.offer(3)
        tables = replace(self.node.tables, evacuated=frozenset(('z2', 'z1')))
        self.node.events.publish(TablesAccepted(tables, 0))
        status, page = self.status_and_page()
        assert status['evacuated'] == ['z1', 'z2']
        assert 'Evacuated zones: z1, z2' in page

    def test_refused_tables_are_shown_until_newer_ones_are_in_force(self):
        self.offer(3)
        self.offer(4, POOLS.replace('6,', '0,'))
        status, page = self.status_and_page()
        assert (status['revision'], status['refused_revision']) == (3, 4)
        assert status['findings'][0].startswith('pools:4:slots')
        assert 'Revision 4 was refused' in page
        assert status['findings'][0] in page
        self.offer(5)
        status, page = self.status_and_page()
        assert (status['refused_revision'], status['findings']) == (0, [])
        assert 'refused' not in page

    def test_reason_why_the_node_is_not_ready_is_shown(self):
        publish_tables(self.node)
        self.node.clock.advance_ms(self.node.options.lease_ms + 1)
        assert 'not confirmed lately' in self.status_and_page()[1]

    def test_state_of_an_upstream_is_shown(self):
        publish_vm_list(self.node, upstream_vm('w1'))
        cold = UpstreamStateChanged('w1', UpstreamState.COLD, 0)
        self.node.events.publish(cold)
        status, page = self.status_and_page()
        assert status['upstreams'][0]['state'] == 'cold'
        assert '<td>cold</td>' in page

    def test_tenants_are_shown_without_their_keys(self):
        digest = digest_of_key(b'secret').hex()
        tenants = f'tenant,keys,rate_per_s\nhuka,{digest},64'
        offer = TablesOffered(Revision(3), ROUTES, POOLS, 0, tenants)
        self.node.events.publish(offer)
        status, page = self.status_and_page()
        assert status['tenants'] == [
            {
                'tenant': 'huka',
                'keys': 1,
                'priority': '',
                'rate_per_s': 64,
                'burst': 0,
            }
        ]
        assert '<td>huka</td>' in page
        assert digest not in json.dumps(status) + page

    def test_names_from_the_vm_list_are_escaped(self):
        publish_vm_list(self.node, upstream_vm('<script>', '<b>'))
        page = self.status_and_page()[1]
        assert '<script>' not in page
        assert '<b>' not in page
