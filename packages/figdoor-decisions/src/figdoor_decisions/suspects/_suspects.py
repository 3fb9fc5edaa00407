"""Which requests were in flight when upstreams died, and what clears them."""

from figdoor_decisions.suspects._crashes import Death, Recent, Suspect
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

# A request that was answered lately is more likely a bystander: in a burst of
# deaths, popular requests are in flight at each of them. It takes this many
# deaths more than the settings say.
MORE_DEATHS_IF_ANSWERED = 1
# Such a request is tried again after this time, which doubles with each
# further death, so that a bystander comes back soon.
FIRST_TRIAL_MS = 1000.0
# Enough for the doubled time to reach the whole quarantine.
MAX_DEATHS = 10
# About 2 MB each; a popular request is touched often and stays.
MAX_SUSPECTS = 10_000
MAX_ANSWERED = 10_000


class Suspects(Service):
    """Counts the deaths at which each request was in flight.

    A full answer clears the request: its deaths count from then on anew.
    """

    def __init__(self, node: Node) -> None:
        """Follow attempts, reports and the news of deaths."""
        self._node = node
        self._deaths: Recent[tuple[Death, ...]] = Recent(MAX_SUSPECTS)
        self._answered_ms: Recent[float] = Recent(MAX_ANSWERED)
        self._instances: dict[UpstreamId, InstanceId] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(ConnectionsClosed, self._on_closed)
        node.events.subscribe(UpdateReceived, self._on_news)

    def __len__(self) -> int:
        """Return how many requests are suspects."""
        return len(self._deaths)

    def is_quarantined(self, routed: RoutedCall, now_ms: float) -> bool:
        """Return whether the call must not be run now."""
        suspect = _suspect(routed)
        deaths = self._deaths.get(suspect)
        if deaths is None:
            return False
        deaths = self._recent(deaths, now_ms)
        if not deaths:
            self._deaths.drop(suspect)
            return False
        limit = self._node.options.quarantine_deaths
        length_ms = self._node.options.quarantine_ms
        if self._was_answered_before(suspect, deaths):
            limit += MORE_DEATHS_IF_ANSWERED
            trials = max(0, len(deaths) - limit)
            length_ms = min(length_ms, FIRST_TRIAL_MS * 2**trials)
        if len(deaths) < limit:
            return False
        return now_ms - deaths[-1].at_ms <= length_ms

    def _was_answered_before(
        self,
        suspect: Suspect,
        deaths: tuple[Death, ...],
    ) -> bool:
        answered_ms = self._answered_ms.get(suspect)
        if answered_ms is None:
            return False
        since_ms = deaths[0].at_ms - answered_ms
        return since_ms <= self._node.options.quarantine_ms

    def _on_ended(self, event: AttemptEnded) -> None:
        suspect = _suspect(event.routed)
        if event.state is AttemptState.ANSWERED:
            self._deaths.drop(suspect)
            self._answered_ms.put(suspect, event.now_ms)
        elif event.state is AttemptState.LOST and event.connection_died:
            instance = self._instances.get(event.upstream, InstanceId(''))
            self._count(
                suspect,
                Death(event.upstream, instance, event.now_ms),
            )
            news = UpstreamDied(
                *suspect,
                event.upstream,
                instance,
            )
            self._node.events.publish(BroadcastRequested(news, event.now_ms))

    def _count(self, suspect: Suspect, seen: Death) -> None:
        deaths = self._recent(self._deaths.get(suspect) or (), seen.at_ms)
        if not any(seen.is_same(death) for death in deaths):
            deaths = (*deaths, seen)
        self._deaths.put(suspect, deaths[-MAX_DEATHS:])

    def _recent(
        self,
        deaths: tuple[Death, ...],
        now_ms: float,
    ) -> tuple[Death, ...]:
        """Return the deaths that a quarantine could still be about.

        The last one decides, so that a quarantine has its full length.
        """
        if not deaths:
            return deaths
        if now_ms - deaths[-1].at_ms > self._node.options.quarantine_ms:
            return ()
        return deaths

    def _on_report(self, event: ReportSeen) -> None:
        self._instances[event.upstream] = event.report.instance

    def _on_closed(self, event: ConnectionsClosed) -> None:
        # The next connection may reach another instance.
        self._instances.pop(event.upstream, None)

    def _on_news(self, event: UpdateReceived) -> None:
        news = event.update
        if isinstance(news, UpstreamDied):
            self._count(
                (news.route, news.fingerprint),
                Death(news.upstream, news.instance, event.now_ms),
            )


def _suspect(routed: RoutedCall) -> Suspect:
    return routed.route.name, routed.call.fingerprint
