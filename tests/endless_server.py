"""A server that begins a response and then sends bytes without end."""

import socket
import threading

from figdoor_standins.ports import HOST

PART_BYTES = 65_536
HEALTH_PATH = b'/healthz'
# No connection sends for longer, so that a test without an end stops.
MAX_SENT_BYTES = 20_000_000_000


class EndlessServer:
    """Answers each request with ``begin`` and then ``part`` until it is closed.

    ``{id}`` in ``begin`` stands for the id of the request. Health checks get
    ``health`` instead of that, unless it is empty.
    """

    def __init__(self, health=b''):
        self.begin = b''
        self.part = b''
        self.health = health
        self._sockets = []
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()
        for connection in self._sockets:
            connection.close()

    def send(self, begin, part):
        """Set what the next responses consist of."""
        self.begin = begin
        self.part = part * (PART_BYTES // len(part))

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        received = b''
        try:
            while data := connection.recv(PART_BYTES):
                received += data
                while b'\r\n\r\n' in received:
                    head, _, received = received.partition(b'\r\n\r\n')
                    self._answer(connection, head)
        except OSError:
            return

    def _answer(self, connection, head):
        if self.health and head.startswith(b'GET ' + HEALTH_PATH):
            connection.sendall(self.health)
            return
        name, _, rest = head.partition(b'\r\nrequest-id: ')
        request_id = rest.split(b'\r\n')[0]
        connection.sendall(self.begin.replace(b'{id}', request_id))
        for _ in range(MAX_SENT_BYTES // PART_BYTES):
            connection.sendall(self.part)
