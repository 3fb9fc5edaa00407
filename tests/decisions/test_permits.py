"""Permits that owners grant for requests to cold upstreams.

Guards against permits that are used after the owner has stopped counting
them, and against unused or lost permits that keep other nodes from sending.
"""

from cold_fleet import (
    TIMED_OUT,
    ColdFleetSubject,
)
from support import make_call

from figdoor_kernel import (
    Extension,
    UpstreamState,
)

COLD = UpstreamState.COLD
SERVING = UpstreamState.SERVING


class TestPermits(ColdFleetSubject):
    def test_permit_expires_500_ms_after_its_request(self):
        request = self.fleet.send(self.other, auto_confirm=False)
        self.fleet.step_ms(5)
        assert request.sent_to
        self.fleet.advance_ms(500)
        request.confirm()
        assert request.worker is None

    def test_permit_that_expired_in_a_pause_of_its_holder_is_not_used(self):
        request = self.fleet.send(self.other, auto_confirm=False)
        self.fleet.step_ms(5)
        self.fleet.network.pause(self.other)
        self.fleet.advance_ms(600)
        self.fleet.network.resume(self.other)
        request.confirm()
        assert request.worker is None

    def test_permit_whose_return_is_lost_is_released_at_the_deadline(self):
        request = self.fleet.send(self.other)
        self.fleet.step_ms(5)
        self.fleet.network.split([self.owner], [self.other])
        request.end()
        assert not self.burst(self.third)
        self.fleet.advance_ms(1600)
        assert len(self.burst(self.third)) == 1

    def test_request_that_timed_out_counts_until_its_deadline(self):
        request = self.burst(self.other)[0]
        request.end(TIMED_OUT)
        assert not self.burst(self.third)
        self.fleet.advance_ms(1600)
        assert len(self.burst(self.third)) == 1

    def test_permit_is_not_used_for_a_call_that_may_run_longer(self):
        """The owner counts a permit no longer than its request said."""
        requester = self.fleet.part(
            self.other,
            Extension.PERMIT_SOURCE,
            'cold-allowance',
        )
        opened = self.fleet.dispatchers[self.other].open(
            make_call(),
            self.fleet.now_ms(),
            lambda: None,
        )
        short = self.fleet.send(self.other, time_left_ms=10)
        short.exchange.abandon(self.fleet.now_ms())
        self.fleet.step_ms(2)
        node = self.fleet.network.nodes[self.other]
        upstream = node.fleet.find('w1')
        now_ms = self.fleet.now_ms()
        assert requester.find_permit(upstream, short.exchange.routed, now_ms)
        assert not requester.find_permit(upstream, opened.routed, now_ms)

    def test_permit_for_one_instance_is_invalid_without_a_connection(self):
        """Beyond the cold limit, permits hold only for the warm instance."""
        for _ in range(5):
            self.fleet.serve(self.other)
        requests = [
            self.fleet.send(self.other, auto_confirm=False) for _ in range(2)
        ]
        self.fleet.step_ms(5)
        assert [request.sent_to for request in requests] == ['w1', 'w1']
        self.fleet.restart('w1')
        for request in requests:
            request.confirm()
        assert not self.worker.running

    def test_unused_permit_is_returned(self):
        request = self.fleet.send(self.other)
        request.exchange.abandon(self.fleet.now_ms())
        self.fleet.step_ms(5)
        self.fleet.advance_ms(200)
        assert len(self.burst(self.third)) == 1

    def test_permit_of_an_unsent_request_is_released_at_once(self):
        request = self.fleet.send(self.other, auto_confirm=False)
        self.fleet.step_ms(5)
        request.exchange.abandon(self.fleet.now_ms())
        self.fleet.step_ms(5)
        assert len(self.burst(self.third)) == 1
