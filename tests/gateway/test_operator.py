"""The operators' page and JSON: the same facts, safe to look at."""

import json

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
from figdoor_gateway.operator._in_force import InForce
from figdoor_gateway.operator._page import render_page
from figdoor_kernel import (
    Extension,
    Revision,
    TablesOffered,
    Tick,
    UpstreamState,
    UpstreamStateChanged,
    VmState,
)


class TestInForce:
    def setup_method(self):
        self.node = make_node()
        provide = self.node.registry.provide
        provide(Extension.SERVICE, 'readiness', Readiness)
        self.readiness = self.node.part(Extension.SERVICE, 'readiness')
        self.in_force = InForce(self.node)
        # A node that is listed alone may put its first tables in force.
        publish_vm_list(self.node, node_vm('n1'))

    def offer(self, revision, pools=POOLS):
        offer = TablesOffered(Revision(revision), ROUTES, pools, 0)
        self.node.events.publish(offer)

    def facts_and_page(self):
        facts = json.loads(json.dumps(self.in_force.describe()))
        return facts, render_page(facts)

    def test_node_without_tables_says_so(self):
        facts, page = self.facts_and_page()
        assert facts['not_ready_because'] == ['starting: waits for tables']
        assert 'No tables are in force.' in page
        assert '<li>starting: waits for tables</li>' in page

    def test_page_says_what_is_in_force_since_when_and_by_which_revision(self):
        self.offer(3)
        confirm_config(self.node)
        publish_vm_list(
            self.node,
            node_vm('n1'),
            upstream_vm('w1'),
            upstream_vm('w2', 'z2', state=VmState.LEAVING),
        )
        self.node.events.publish(Tick(self.node.clock.now_ms()))
        facts, page = self.facts_and_page()
        since = facts['accepted_at']
        assert since
        assert f'Revision 3 of the tables is in force since {since}' in page
        assert '2 routes, 1 pools, 2 upstreams' in page
        assert facts['state'] == 'ready'
        assert facts['availability_zones'][1] == {
            'availability_zone': 'z2',
            'pools': 1,
            'live_upstreams': 0,
            'leaving_upstreams': 1,
        }

    def test_refused_tables_are_shown_until_newer_ones_are_in_force(self):
        self.offer(3)
        self.offer(4, POOLS.replace('6,', '0,'))
        facts, page = self.facts_and_page()
        assert (facts['revision'], facts['refused_revision']) == (3, 4)
        assert facts['findings'][0].startswith('pools:4:slots')
        assert 'Revision 4 was refused' in page
        assert facts['findings'][0] in page
        self.offer(5)
        facts, page = self.facts_and_page()
        assert (facts['refused_revision'], facts['findings']) == (0, [])
        assert 'refused' not in page

    def test_reason_why_the_node_is_not_ready_is_shown(self):
        publish_tables(self.node)
        self.node.clock.advance_ms(self.node.options.lease_ms + 1)
        assert 'not confirmed lately' in self.facts_and_page()[1]

    def test_state_of_an_upstream_is_shown(self):
        publish_vm_list(self.node, upstream_vm('w1'))
        cold = UpstreamStateChanged('w1', UpstreamState.COLD, 0)
        self.node.events.publish(cold)
        facts, page = self.facts_and_page()
        assert facts['upstreams'][0]['state'] == 'cold'
        assert '<td>cold</td>' in page

    def test_text_that_upstreams_and_platform_chose_is_escaped(self):
        publish_vm_list(self.node, upstream_vm('<script>', '<b>'))
        page = self.facts_and_page()[1]
        assert '<script>' not in page
        assert '<b>' not in page
