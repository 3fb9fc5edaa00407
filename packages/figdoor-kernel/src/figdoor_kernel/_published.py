"""Items that the platform publishes under keys, not yet decoded."""

from dataclasses import dataclass, field
from enum import Enum, unique

from figdoor_kernel._ids import Position
from figdoor_kernel._serialized_names import NOT_RECORDED, SERIALIZED_NAME


@dataclass(frozen=True, slots=True)
class PublishedItem:
    """The content of one key at one position in the platform's store.

    ``content`` is ``None`` if the key was removed at that position. It may
    hold keys of callers, so logs and traces do not show it.
    """

    key: str
    position: Position = field(metadata={SERIALIZED_NAME: 'revision'})
    content: bytes | None = field(repr=False, metadata=NOT_RECORDED)


@unique
class ItemsSource(Enum):
    """Where a node learned that its items are complete up to a position.

    ``CONFIRMATION`` means that a peer has the same items, so that none came
    with it.
    """

    STORE = 'store'
    PEER = 'peer'
    CONFIRMATION = 'confirmation'
