"""Items that the platform publishes, and the tables that come from them."""

from figdoor_decisions.published._acceptance import NewestAcceptance
from figdoor_decisions.published._items import ItemChanges, PublishedItems
from figdoor_decisions.published._reading import (
    CHECK_WAIT_MS,
    ReadKind,
    StoreRead,
    StoreReadingPlan,
)
from figdoor_decisions.published._restoring import RestoredStore
from figdoor_decisions.published._vm_list import ListedVms
from figdoor_kernel import Extension, Registry

__all__ = (
    'CHECK_WAIT_MS',
    'ItemChanges',
    'NewestAcceptance',
    'ListedVms',
    'PublishedItems',
    'ReadKind',
    'RestoredStore',
    'StoreRead',
    'StoreReadingPlan',
    'register',
)


def register(registry: Registry) -> None:
    """Provide items, what follows from them, and reads of the store."""
    registry.provide(Extension.SERVICE, 'published-items', PublishedItems)
    registry.provide(Extension.SERVICE, 'restored-store', RestoredStore)
    registry.provide(Extension.SERVICE, 'listed-vms', ListedVms)
    registry.provide(Extension.SERVICE, 'store-reading', StoreReadingPlan)
    registry.provide(Extension.SERVICE, 'acceptance', NewestAcceptance)
