"""Requests that were in flight when upstreams crashed."""

from collections.abc import Iterable
from dataclasses import replace
from heapq import nlargest

from figdoor_decisions.suspects._crashes import (
    BoundedMap,
    Crash,
    RequestKey,
    merge_crashes,
)
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    BroadcastRequested,
    ConnectionsClosed,
    InstanceId,
    Node,
    ObservedCrash,
    ReportSeen,
    RoutedCall,
    Service,
    SuspectedRequest,
    TransferredState,
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
# Longest quarantine. The crashes of a request that is not the cause, after
# connections that were lost without a crash, must not keep it out for days.
MAX_QUARANTINE_MS = 3_600_000.0
# Crashes kept per request, enough for the doubled time to reach
# ``quarantine_ms`` from the first of a recently answered request.
MAX_CRASHES = 10
# The maps take about 2 MB each. Popular requests are set often, so they are not
# evicted.
MAX_SUSPECTS = 10_000
MAX_ANSWERED = 10_000
# Requests that are handed on to a node that has just started: those with most
# crashes, and of these the newest. With three crashes each they take 185 KB,
# which a link of 5 Mbit/s carries in 0.3 s.
MAX_TRANSFERRED = 1000
NEVER_MS = float('-inf')


class SuspectedRequests(Service):
    """Counts the crashes at which each request was in flight.

    A full answer clears the request: its crashes are counted from 0 again.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to attempts, reports, closed connections and updates."""
        self._node = node
        self._crashes: BoundedMap[tuple[Crash, ...]] = BoundedMap(MAX_SUSPECTS)
        self._answered_ms: BoundedMap[float] = BoundedMap(MAX_ANSWERED)
        # Requests that an answer has cleared.
        self._cleared_ms: BoundedMap[float] = BoundedMap(MAX_TRANSFERRED)
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
        if self._has_expired(key, crashes, now_ms):
            self._crashes.discard(key)
            return False
        length_ms = self._quarantine_ms(key, crashes)
        return bool(length_ms) and now_ms - crashes[-1].at_ms <= length_ms

    def add_to(
        self, state: TransferredState, now_ms: float
    ) -> TransferredState:
        """Add the suspected requests, and those that were cleared."""
        counted = [
            (len(crashes), crashes[-1].at_ms, key)
            for key, crashes in self._crashes.items()
            if not self._has_expired(key, crashes, now_ms)
        ]
        suspected = (key for _, _, key in nlargest(MAX_TRANSFERRED, counted))
        cleared = (key for key, _ in self._cleared_ms.items())
        # A request may be suspected again after it was cleared.
        keys = dict.fromkeys((*suspected, *cleared))
        suspects = tuple(self._describe(key, now_ms) for key in keys)
        return replace(state, suspects=suspects)

    def adopt(self, state: TransferredState, now_ms: float) -> None:
        """Learn of crashes, and of answers that cleared requests.

        An answer clears the crashes before it, whichever node saw them. It
        does not count as one that this node saw.
        """
        # The first ones are the last to be evicted.
        for suspect in reversed(state.suspects):
            key = (suspect.route, suspect.fingerprint)
            if suspect.cleared_age_ms is not None:
                self._clear(key, now_ms - suspect.cleared_age_ms)
            observed = (
                Crash(crash.upstream, crash.instance, now_ms - crash.age_ms)
                for crash in suspect.crashes
            )
            self._merge(key, observed)

    def _merge(self, key: RequestKey, observed: Iterable[Crash]) -> None:
        known = self._crashes.get(key) or ()
        cleared_ms = max(
            self._answered_ms.get(key) or NEVER_MS,
            self._cleared_ms.get(key) or NEVER_MS,
        )
        crashes = tuple(
            crash
            for crash in merge_crashes(known, observed)
            if crash.at_ms > cleared_ms
        )
        self._crashes.discard(key)
        if crashes:
            self._crashes.set(key, crashes[-MAX_CRASHES:])

    def _clear(self, key: RequestKey, now_ms: float) -> None:
        """Record that an answer cleared the crashes before it."""
        cleared_ms = max(now_ms, self._cleared_ms.get(key) or NEVER_MS)
        self._cleared_ms.set(key, cleared_ms)

    def _describe(self, key: RequestKey, now_ms: float) -> SuspectedRequest:
        cleared_ms = self._cleared_ms.get(key)
        return SuspectedRequest(
            *key,
            tuple(
                ObservedCrash(
                    crash.upstream, crash.instance, now_ms - crash.at_ms
                )
                for crash in self._crashes.get(key) or ()
            ),
            None if cleared_ms is None else now_ms - cleared_ms,
        )

    def _quarantine_ms(
        self,
        key: RequestKey,
        crashes: tuple[Crash, ...],
    ) -> float:
        """Return the time of the quarantine after the last crash, 0 for none.

        It doubles with each further crash, so that a request that is sent for
        hours crashes few upstreams.
        """
        limit = self._node.options.quarantine_deaths
        length_ms = self._node.options.quarantine_ms
        longest_ms = max(length_ms, MAX_QUARANTINE_MS)
        if self._was_recently_answered(key, crashes):
            limit += EXTRA_CRASHES_IF_ANSWERED
            longest_ms = length_ms
            length_ms = INITIAL_QUARANTINE_MS
        if len(crashes) < limit:
            return 0
        return min(longest_ms, length_ms * 2.0 ** (len(crashes) - limit))

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
            if self._crashes.get(key) is not None:
                self._clear(key, event.now_ms)
            self._crashes.discard(key)
            self._answered_ms.set(key, event.now_ms)
        elif event.state is AttemptState.LOST and event.connection_died:
            instance = self._instance_of(event.upstream)
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
        crashes = self._crashes.get(key) or ()
        if crashes and self._has_expired(key, crashes, new_crash.at_ms):
            crashes = ()
        if not any(new_crash.is_same(crash) for crash in crashes):
            crashes = (*crashes, new_crash)
        self._crashes.set(key, crashes[-MAX_CRASHES:])

    def _has_expired(
        self,
        key: RequestKey,
        crashes: tuple[Crash, ...],
        now_ms: float,
    ) -> bool:
        """Return whether the crashes are too old to count.

        The last one decides for all, so that a quarantine has its full length.
        After it they count as long again: the next crash begins another one.
        """
        kept_ms = max(
            self._node.options.quarantine_ms,
            2 * self._quarantine_ms(key, crashes),
        )
        return now_ms - crashes[-1].at_ms > kept_ms

    def _instance_of(self, upstream_id: UpstreamId) -> InstanceId:
        """Return the listed instance, else the one that reports itself.

        An upstream may start again under its id. Where the VM list names its
        instances, reports need not.
        """
        upstream = self._node.fleet.find(upstream_id)
        if upstream is not None and upstream.instance:
            return upstream.instance
        return self._instances.get(upstream_id, InstanceId(''))

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
