"""Requests that crash the workers that begin to run them."""

from world import STABILITY_S, World, now_s

# The rule allows this many retries.
MOST_RETRIES = 3
WORKER_AWAY_S = 2.0


class PoisonWorld(World):
    """Some requests crash workers, and come again one after the other."""

    def __init__(self, folder, record):
        super().__init__(folder, record)
        # Time, whether the machine that sent it was in touch, and request id.
        self.crashes = []
        self.sender = None

    def on_poison(self, worker, request):
        is_in_touch = self.sender.is_in_touch()
        request_id = request.headers.get('request-id')
        self.crashes.append((now_s(), is_in_touch, request_id))
        self.record.write('crash', worker=worker.worker_id,
                          number=len(self.crashes), sent_by=self.sender.name,
                          in_touch=is_in_touch, id=request_id)
        worker.crash()
        self.in_background(worker.restart_later(WORKER_AWAY_S))

    async def send_poison(self, node, method, path, **settings):
        """Let the request come again at one machine, as a new attempt."""
        self.sender = node
        return await self.request(
            node, method, path, kind='poison', **settings)

    def judge(self, others):
        """Return the broken rules, and write a summary.

        ``others`` are the answers to requests that may run only once. What a
        machine in touch sent later than ``Stability`` after the third crash
        counts, and an attempt that reached two workers counts once.
        """
        retries = set()
        if len(self.crashes) > 2:
            third_s = self.crashes[2][0]
            retries = {request_id for at_s, in_touch, request_id in self.crashes
                       if at_s > third_s + STABILITY_S and in_touch}
        lost = [answer for answer in others if answer.status != 200]
        self.record.write(
            'summary', crashes=len(self.crashes), retries=len(retries),
            others=len(others), others_not_200=len(lost),
            statuses=sorted({answer.status for answer in lost}))
        if len(retries) <= MOST_RETRIES:
            return []
        return [f'BUDGET: the request reached workers in {len(retries)} '
                f'retries after its third crash, {MOST_RETRIES} are allowed']
