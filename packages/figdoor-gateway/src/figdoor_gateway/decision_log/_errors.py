"""Log lines for unexpected errors of plug-ins."""

from loguru import logger

from figdoor_kernel import Node, PluginFailed


class PluginErrors:
    """Logs each error of a plug-in with its traceback."""

    def __init__(self, node: Node) -> None:
        """Subscribe to errors during calls."""
        node.events.subscribe(PluginFailed, self._on_failed)

    def _on_failed(self, event: PluginFailed) -> None:
        logger.opt(exception=event.error).error(
            'a plug-in failed while a call was processed',
        )
