"""Requests that were in flight when upstreams crashed."""

from figdoor_decisions.suspects._crashes import BoundedMap, Crash, RequestKey
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    BroadcastRequested,
    ConnectionsClosed,
    InstanceId,
    Node,
    ReportSeen,
    RoutedCall,
    Service,
    UpdateReceived,
    UpstreamDied,
    UpstreamId,
)

# A recently answered request needs this many crashes more than
# ``quarantine_deaths``. It is more likely not the cause: in a burst of crashes,
# popular requests are in flight at each of them.
EXTRA_CRASHES_IF_ANSWERED = 1
# First quarantine of a recently answered request. It doubles with each further
# crash, so that a request that is not the cause is soon allowed again.
INITIAL_QUARANTINE_MS = 1000.0
# Crashes kept per request, enough for the doubled time to reach
# ``quarantine_ms``.
MAX_CRASHES = 10
# The maps take about 2 MB each. Popular requests are set often, so they are not
# evicted.
MAX_SUSPECTS = 10_000
MAX_ANSWERED = 10_000


class SuspectedRequests(Service):
    """Counts the crashes at which each request was in flight.

    A full answer clears the request: its crashes are counted from 0 again.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to attempts, reports, closed connections and updates."""
        self._node = node
        self._crashes: BoundedMap[tuple[Crash, ...]] = BoundedMap(MAX_SUSPECTS)
        self._answered_ms: BoundedMap[float] = BoundedMap(MAX_ANSWERED)
        self._instances: dict[UpstreamId, InstanceId] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(ConnectionsClosed, self._on_closed)
        node.events.subscribe(UpdateReceived, self._on_update)

    def __len__(self) -> int:
        """Return the number of suspected requests."""
        return len(self._crashes)

    def is_quarantined(self, routed: RoutedCall, now_ms: float) -> bool:
        """Return whether the request of the call is in quarantine."""
        key = _request_key(routed)
        crashes = self._crashes.get(key)
        if crashes is None:
            return False
        crashes = self._unexpired(crashes, now_ms)
        if not crashes:
            self._crashes.discard(key)
            return False
        limit = self._node.options.quarantine_deaths
        length_ms = self._node.options.quarantine_ms
        if self._was_recently_answered(key, crashes):
            limit += EXTRA_CRASHES_IF_ANSWERED
            extra_crashes = max(0, len(crashes) - limit)
            length_ms = min(length_ms, INITIAL_QUARANTINE_MS * 2**extra_crashes)
        if len(crashes) < limit:
            return False
        return now_ms - crashes[-1].at_ms <= length_ms

    def _was_recently_answered(
        self,
        key: RequestKey,
        crashes: tuple[Crash, ...],
    ) -> bool:
        answered_ms = self._answered_ms.get(key)
        if answered_ms is None:
            return False
        answer_age_ms = crashes[0].at_ms - answered_ms
        return answer_age_ms <= self._node.options.quarantine_ms

    def _on_ended(self, event: AttemptEnded) -> None:
        key = _request_key(event.routed)
        if event.state is AttemptState.ANSWERED:
            self._crashes.discard(key)
            self._answered_ms.set(key, event.now_ms)
        elif event.state is AttemptState.LOST and event.connection_died:
            instance = self._instances.get(event.upstream, InstanceId(''))
            self._add_crash(
                key,
                Crash(event.upstream, instance, event.now_ms),
            )
            update = UpstreamDied(
                *key,
                event.upstream,
                instance,
            )
            self._node.events.publish(BroadcastRequested(update, event.now_ms))

    def _add_crash(self, key: RequestKey, new_crash: Crash) -> None:
        crashes = self._unexpired(self._crashes.get(key) or (), new_crash.at_ms)
        if not any(new_crash.is_same(crash) for crash in crashes):
            crashes = (*crashes, new_crash)
        self._crashes.set(key, crashes[-MAX_CRASHES:])

    def _unexpired(
        self,
        crashes: tuple[Crash, ...],
        now_ms: float,
    ) -> tuple[Crash, ...]:
        """Return the crashes, or none once the last one has expired.

        The last one decides for all, so that a quarantine has its full length.
        """
        if not crashes:
            return crashes
        if now_ms - crashes[-1].at_ms > self._node.options.quarantine_ms:
            return ()
        return crashes

    def _on_report(self, event: ReportSeen) -> None:
        self._instances[event.upstream] = event.report.instance

    def _on_closed(self, event: ConnectionsClosed) -> None:
        # The next connection may reach another instance.
        self._instances.pop(event.upstream, None)

    def _on_update(self, event: UpdateReceived) -> None:
        update = event.update
        if isinstance(update, UpstreamDied):
            self._add_crash(
                (update.route, update.fingerprint),
                Crash(update.upstream, update.instance, event.now_ms),
            )


def _request_key(routed: RoutedCall) -> RequestKey:
    return routed.route.name, routed.call.fingerprint
