"""The garbage collector around a start."""

import gc

import pytest

from figdoor_gateway.memory import freeze_heap, pause_collections


@pytest.fixture
def collections():
    """The collections that begin in the meantime."""
    seen = []

    def note(phase, info):
        if phase == 'start':
            seen.append(info['generation'])

    gc.callbacks.append(note)
    yield seen
    gc.callbacks.remove(note)
    gc.enable()
    gc.unfreeze()


class TestStart:
    def test_nothing_is_collected_while_a_node_starts(self, collections):
        """Guards against full collections that delay the first answers."""
        pause_collections()
        kept = [[] for _ in range(10_000)]
        freeze_heap()
        seen = list(collections)
        assert kept
        assert not seen

    def test_collections_go_on_afterwards(self, collections):
        """Guards against garbage that grows as long as a node runs."""
        pause_collections()
        freeze_heap()
        assert gc.isenabled()
        kept = [[] for _ in range(10_000)]
        assert kept
        assert collections

    def test_what_was_loaded_is_left_out(self, collections):
        pause_collections()
        freeze_heap()
        assert gc.get_freeze_count() > 10_000
