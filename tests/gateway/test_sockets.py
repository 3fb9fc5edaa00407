"""Writes at once keep the order of bytes and leave the rest to the loop."""

import pytest
from twisted.internet.abstract import FileDescriptor
from twisted.internet.testing import MemoryReactorClock

from figdoor_gateway.sockets import write_now


class Descriptor(FileDescriptor):
    """A socket that takes a number of bytes and then no more."""

    def __init__(self, room=100):
        super().__init__(MemoryReactorClock())
        self.connected = True
        self.room = room
        self.taken = b''

    def fileno(self):
        return 1

    def writeSomeData(self, data):
        taken = bytes(data[: self.room])
        self.room -= len(taken)
        self.taken += taken
        return len(taken)


class TestWriteNow:
    def test_write_leaves_at_once(self):
        descriptor = Descriptor()
        write_now(descriptor, b'abc')
        assert descriptor.taken == b'abc'

    @pytest.mark.parametrize('room', [0, 2, 4, 5])
    def test_rest_is_written_in_order_when_there_is_room_again(self, room):
        descriptor = Descriptor(room)
        write_now(descriptor, b'abc')
        write_now(descriptor, b'def')
        descriptor.room = 100
        write_now(descriptor, b'ghi')
        descriptor.doWrite()
        assert descriptor.taken == b'abcdefghi'

    def test_full_socket_pauses_its_producer(self):
        descriptor = Descriptor(0)
        paused = []

        class Producer:
            def pauseProducing(self):
                paused.append(True)

        descriptor.registerProducer(Producer(), True)
        write_now(descriptor, b'a' * (descriptor.bufferSize + 1))
        assert paused

    def test_lost_connection_is_left_to_the_loop(self):
        descriptor = Descriptor()
        descriptor.writeSomeData = lambda data: OSError()
        write_now(descriptor, b'abc')
        assert descriptor._tempDataBuffer == [b'abc']
