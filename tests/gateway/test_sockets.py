"""Immediate writes.

Guards against reordered bytes when a part of the data has to wait for the
event loop.
"""

import pytest
from twisted.internet.abstract import FileDescriptor
from twisted.internet.testing import MemoryReactorClock

from figdoor_gateway.sockets import write_now


class Descriptor(FileDescriptor):
    """A socket that accepts ``capacity`` bytes and then no more."""

    def __init__(self, capacity=100):
        super().__init__(MemoryReactorClock())
        self.connected = True
        self.capacity = capacity
        self.sent = b''

    def fileno(self):
        return 1

    def writeSomeData(self, data):
        accepted = bytes(data[: self.capacity])
        self.capacity -= len(accepted)
        self.sent += accepted
        return len(accepted)


class TestWriteNow:
    def test_data_is_sent_immediately(self):
        descriptor = Descriptor()
        write_now(descriptor, b'abc')
        assert descriptor.sent == b'abc'

    @pytest.mark.parametrize('capacity', [0, 2, 4, 5])
    def test_unsent_rest_is_sent_in_order(self, capacity):
        descriptor = Descriptor(capacity)
        write_now(descriptor, b'abc')
        write_now(descriptor, b'def')
        descriptor.capacity = 100
        write_now(descriptor, b'ghi')
        descriptor.doWrite()
        assert descriptor.sent == b'abcdefghi'

    def test_full_socket_pauses_producer(self):
        descriptor = Descriptor(0)
        paused = []

        class Producer:
            def pauseProducing(self):
                paused.append(True)

        descriptor.registerProducer(Producer(), True)
        write_now(descriptor, b'a' * (descriptor.bufferSize + 1))
        assert paused

    def test_lost_connection_is_left_to_event_loop(self):
        descriptor = Descriptor()
        descriptor.writeSomeData = lambda data: OSError()
        write_now(descriptor, b'abc')
        assert descriptor._tempDataBuffer == [b'abc']
