"""Items that the platform publishes under keys, before they are decoded."""

from dataclasses import dataclass

from figdoor_kernel._ids import Revision


@dataclass(frozen=True, slots=True)
class PublishedItem:
    """One key as of one revision of the platform's store.

    ``content`` is ``None`` where the key was removed at that revision.
    """

    key: str
    revision: Revision
    content: bytes | None
