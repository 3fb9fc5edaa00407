"""Starts gateways and stand-ins as separate processes on loopback.

Used by the demo, the benches and the process tests. figdoor itself never
starts a process.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

from figdoor_standins.ports import HOST, free_port

START_TIMEOUT_S = 20
BIN = Path(sys.executable).parent


def http(port, path, method='GET', body=None, headers=None, timeout_s=10):
    """Return status, headers and body of one request."""
    request = urllib.request.Request(
        f'http://{HOST}:{port}{path}',
        data=body,
        method=method,
        headers=headers or {},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        with error:
            return error.code, dict(error.headers), error.read()


def wait_until(condition, timeout_s=START_TIMEOUT_S, what='condition'):
    """Poll until the condition holds; raises ``TimeoutError``.

    An ``OSError`` counts as a condition that does not hold yet.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError(f'timed out after {timeout_s} s waiting for: {what}')


class Process:
    """A child process."""

    def __init__(self, command, environment=None, log_path=os.devnull):
        self._command = command
        self._environment = {**os.environ, **(environment or {})}
        self._log_path = log_path
        self.child = self._start()

    def _start(self):
        with open(self._log_path, 'ab') as log:
            return subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
                env=self._environment,
            )

    def restart(self):
        """Kill the process and start it again on the same ports."""
        self.kill()
        self.child = self._start()

    def send(self, signal_number):
        """Send a signal if the process is still running."""
        if self.child.poll() is None:
            self.child.send_signal(signal_number)

    def kill(self):
        """Kill the process, also a suspended one, and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.child.wait()

    @property
    def cpu_s(self):
        """CPU time used by the process."""
        text = Path(f'/proc/{self.child.pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    @property
    def resident_bytes(self):
        """Resident set size of the process."""
        pages = Path(f'/proc/{self.child.pid}/statm').read_text().split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE')

    def stop(self, timeout_s=30):
        """Send SIGTERM and wait; return the exit code."""
        self.send(signal.SIGTERM)
        return self.child.wait(timeout_s)


class UpstreamProcess(Process):
    """A stand-in upstream."""

    def __init__(self, vm_id, service, zone, port=None, **options):
        self.vm_id = vm_id
        self.service = service
        self.zone = zone
        self.port = port or free_port()
        self.state = 'live'
        flags = [f'--{name}={text}' for name, text in options.items()]
        super().__init__(
            [
                sys.executable,
                '-m',
                'figdoor_standins.upstream',
                f'--port={self.port}',
                *flags,
            ],
        )

    def control(self, **fields):
        """Set fields of the upstream's ``Behaviour``."""
        query = '&'.join(f'{name}={text}' for name, text in fields.items())
        http(self.port, f'/_control?{query}', 'POST')

    def counts(self):
        """Return the counters of the upstream."""
        return json.loads(http(self.port, '/_executions')[2])

    def is_up(self):
        """Return whether it responds."""
        return http(self.port, '/_executions')[0] == 200

    def row(self):
        """Return its row of the VM list."""
        return _row(self.vm_id, self.service, self.zone, self.port, self.state)


class CallerProcess(Process):
    """A stand-in caller that runs in the background."""

    def __init__(self, ports, **options):
        self.output = tempfile.TemporaryFile('w+')
        flags = [f'--{name}={text}' for name, text in options.items()]
        port_list = ','.join(str(port) for port in ports)
        self.child = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'figdoor_standins.caller',
                f'--ports={port_list}',
                *flags,
            ],
            stdout=self.output,
        )

    def has_begun(self):
        """Return whether the first request has ended."""
        return bool(os.fstat(self.output.fileno()).st_size)

    def result(self, timeout_s=60):
        """Wait for the end and return the caller's JSON result."""
        self.child.wait(timeout_s)
        self.output.seek(0)
        return json.loads(self.output.readlines()[-1])


class GatewayProcess(Process):
    """A figdoor node."""

    def __init__(self, vm_id, zone, platform_port, log_path, **settings):
        self.vm_id = vm_id
        self.zone = zone
        self.port = free_port()
        self.operator_port = free_port()
        self.peer_port = free_port()
        self.state = 'live'
        environment = {
            'FIGDOOR_NODE_ID': vm_id,
            'FIGDOOR_AVAILABILITY_ZONE': zone,
            'FIGDOOR_LISTEN': f'{HOST}:{self.port}',
            'FIGDOOR_OPERATOR_LISTEN': f'{HOST}:{self.operator_port}',
            'FIGDOOR_PEER_LISTEN': f'{HOST}:{self.peer_port}',
            'FIGDOOR_PLATFORM_URL': f'http://{HOST}:{platform_port}',
            'FIGDOOR_STOP_GRACE_MS': '300',
            # The VM list of the stand-in platform changes without delay.
            'FIGDOOR_VM_LIST_LAG_MS': '1000',
        }
        for name, text in settings.items():
            environment[f'FIGDOOR_{name.upper()}'] = str(text)
        super().__init__([str(BIN / 'figdoor')], environment, log_path)

    def is_ready(self):
        """Return whether the node is ready."""
        return http(self.operator_port, '/readyz')[0] == 200

    def in_force(self):
        """Return the node's ``/in-force`` page."""
        return json.loads(http(self.operator_port, '/in-force')[2])

    def row(self):
        """Return its row of the VM list."""
        return _row(
            self.vm_id,
            'figdoor',
            self.zone,
            self.peer_port,
            self.state,
        )


class PlatformProcess(Process):
    """The stand-in platform."""

    def __init__(self):
        self.port = free_port()
        super().__init__(
            [
                sys.executable,
                '-m',
                'figdoor_standins.platform',
                f'--port={self.port}',
            ],
        )

    def is_up(self):
        """Return whether it responds."""
        return http(self.port, '/_calls')[0] == 200

    def publish(self, routes, pools, revision=None, tenants=''):
        """Publish the tables; return the revision."""
        tables = {'routes': routes, 'pools': pools, 'tenants': tenants}
        if revision is not None:
            tables['revision'] = revision
        return int(self._post('/_publish', tables))

    def list_vms(self, members):
        """Publish the VM list."""
        self._post('/_vms', {'vms': [member.row() for member in members]})

    def set_down(self, down):
        """Start or stop responding to every read with 500."""
        http(self.port, f'/_mode?down={int(down)}', 'POST')

    def calls(self):
        """Return the counts of reads."""
        return json.loads(http(self.port, '/_calls')[2])

    def _post(self, path, fields):
        return http(self.port, path, 'POST', json.dumps(fields).encode())[2]


def _row(vm_id, service, zone, port, state):
    return {
        'id': vm_id,
        'service': service,
        'availability_zone': zone,
        'host': HOST,
        'port': port,
        'state': state,
    }
