"""The fake worker of bench/policies.py.

A worker that sheds too early, loses a request or runs at the wrong speed would
falsify the published comparison of policies.
"""

from random import Random

import pytest
from fake_workers import QUEUE, SLOTS, VirtualClock, Worker

from figdoor_kernel import AttemptState


class TestWorker:
    def setup_method(self):
        self.clock = VirtualClock()
        self.worker = Worker('w', self.clock, Random(1))
        self.results = []

    def send(self, requests):
        for _ in range(requests):
            self.worker.arrive(
                lambda result, report: self.results.append(result)
            )

    def test_sheds_only_beyond_slots_and_queue(self):
        self.send(SLOTS + QUEUE)
        assert not self.results
        self.send(1)
        assert self.results[0].state is AttemptState.SHED

    def test_every_request_is_answered_once(self):
        self.send(SLOTS + QUEUE)
        self.clock.run()
        assert len(self.results) == SLOTS + QUEUE == self.worker.served

    def test_cold_worker_crashes_beyond_one_request(self):
        self.worker.cold_until_ms = 100
        self.send(2)
        states = [result.state for result in self.results]
        assert states == [AttemptState.LOST] * 2
        assert self.worker.is_down
        self.clock.run()
        assert not self.worker.served

    @pytest.mark.parametrize(
        ('start_ms', 'work_ms', 'done_ms'),
        [
            (0, 10, 10),
            (95, 10, 150),
            (100, 10, 200),
            (250, 10, 305),
            (300, 10, 310),
        ],
    )
    def test_work_advances_at_a_tenth_while_slow(
        self,
        start_ms,
        work_ms,
        done_ms,
    ):
        self.worker.slow = [(100, 300)]
        assert self.worker.finish_ms(start_ms, work_ms) == done_ms
