"""A platform, upstreams and gateways as processes on loopback."""

import os
from contextlib import ExitStack
from pathlib import Path

from figdoor_standins.processes import (
    CallerProcess,
    GatewayProcess,
    PlatformProcess,
    UpstreamProcess,
    http,
    wait_until,
)


class Deployment:
    """A context manager that starts processes and ends them on exit."""

    def __init__(self, log_folder=None):
        self.log_folder = log_folder
        self.platform = None
        self.upstreams = []
        self.gateways = []
        self._stack = ExitStack()

    def __enter__(self):
        self.platform = self._own(PlatformProcess())
        wait_until(self.platform.is_up, what='platform up')
        return self

    def __exit__(self, *_):
        self._stack.close()

    def add_upstream(self, vm_id, service, zone, **options):
        """Start an upstream."""
        upstream = self._own(UpstreamProcess(vm_id, service, zone, **options))
        self.upstreams.append(upstream)
        return upstream

    def add_gateway(self, vm_id, zone, **settings):
        """Start a gateway."""
        log_path = os.devnull
        if self.log_folder:
            log_path = str(Path(self.log_folder) / f'{vm_id}.log')
        gateway = self._own(
            GatewayProcess(
                vm_id,
                zone,
                self.platform.port,
                log_path,
                **settings,
            ),
        )
        self.gateways.append(gateway)
        return gateway

    def start_caller(self, ports=None, **options):
        """Start a caller of these ports; by default, of all gateways."""
        ports = ports or [gateway.port for gateway in self.gateways]
        return self._own(CallerProcess(ports, **options))

    def list_vms(self, without=()):
        """Publish all upstreams and gateways but ``without`` as the VM list."""
        members = [*self.upstreams, *self.gateways]
        self.platform.list_vms(
            [member for member in members if member not in without]
        )

    def wait_ready(self):
        """Wait until upstreams are up and gateways are ready."""
        for upstream in self.upstreams:
            wait_until(upstream.is_up, what=f'{upstream.vm_id} up')
        self.list_vms()
        for gateway in self.gateways:
            wait_until(gateway.is_ready, what=f'{gateway.vm_id} ready')

    def wait_answering(self, path, headers=None):
        """Wait until every gateway responds to this path with 200.

        Upstreams of a new fleet are cold, and owner nodes grant permits only
        once owners of an earlier fleet can no longer grant any.
        """
        for gateway in self.gateways:
            wait_until(
                lambda: http(gateway.port, path, headers=headers)[0] == 200,
                what=f'{gateway.vm_id} responds to {path}',
            )

    def _own(self, process):
        self._stack.callback(process.kill)
        return process
