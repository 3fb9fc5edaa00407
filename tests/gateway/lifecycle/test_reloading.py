"""Reload of settings while a node runs."""

import os
import subprocess
import sys

import pytest
from support import ManualClock, Recorder, make_node

from figdoor_gateway.application import make_options
from figdoor_gateway.lifecycle import SettingsReloader
from figdoor_gateway.settings import read_settings
from figdoor_kernel import SettingsChanged, Tick

REQUIRED = (
    '--node_id=n1\n--availability_zone=z1\n--platform_url=http://127.0.0.1:1\n'
)


class Rig:
    """A node that was started with a flag file."""

    def __init__(self, folder):
        self.path = folder / 'node.flags'
        self.path.write_text(REQUIRED)
        self.clock = ManualClock()
        self.node = make_node(clock=self.clock)
        arguments = ['figdoor', f'--flagfile={self.path}']
        self.node.settings = read_settings(arguments, {}).unwrap()
        self.changes = Recorder(self.node, SettingsChanged)
        self.reloader = SettingsReloader(self.node)
        self.reloader.configure(
            arguments,
            lambda: read_settings(arguments, {}),
            make_options,
        )

    def write(self, text):
        replacement = self.path.with_suffix('.new')
        replacement.write_text(REQUIRED + text)
        os.replace(replacement, self.path)

    def tick(self):
        self.clock.advance_ms(1500)
        self.node.events.publish(Tick(self.clock.now_ms()))


@pytest.fixture
def rig(tmp_path):
    return Rig(tmp_path)


class TestReload:
    def test_changed_file_is_reloaded_without_a_signal(self, rig):
        """Guards against settings that take effect only after a restart."""
        rig.write('--stop_grace_ms=1234\n')
        rig.tick()
        assert rig.node.settings.stop_grace_ms == 1234
        assert [event.names for event in rig.changes.events] == [
            ('stop_grace_ms',)
        ]

    def test_unchanged_file_is_not_reloaded(self, rig):
        rig.tick()
        assert not rig.changes.events

    def test_settings_with_findings_change_nothing(self, rig):
        """Guards against an invalid file that replaces valid settings."""
        before = rig.node.settings
        rig.write('--stop_grace_ms=soon\n')
        rig.tick()
        assert rig.node.settings is before

    def test_missing_file_changes_nothing(self, rig):
        before = rig.node.settings
        rig.path.unlink()
        rig.tick()
        assert rig.node.settings is before


class TestHangUp:
    def test_signal_does_not_end_the_process(self):
        """Guards against SIGHUP ending the node and its open requests."""
        script = (
            'import os, signal, sys\n'
            'from figdoor_gateway import cli\n'
            'cli.reactor.callLater(0.2, os.kill, os.getpid(), signal.SIGHUP)\n'
            'cli.reactor.callLater(0.6, cli.reactor.stop)\n'
            'cli.run()\n'
            'print("still running")\n'
        )
        flags = [
            '--node_id=n1',
            '--availability_zone=z1',
            '--platform_url=http://127.0.0.1:1',
            '--listen=127.0.0.1:0',
            '--operator_listen=127.0.0.1:0',
            '--peer_listen=127.0.0.1:0',
        ]
        process = subprocess.run(
            [sys.executable, '-c', script, *flags],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert process.returncode == 0, process.stderr
        assert 'still running' in process.stdout
