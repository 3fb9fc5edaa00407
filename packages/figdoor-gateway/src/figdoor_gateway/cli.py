"""The command ``figdoor``: reads the settings and runs one node."""

import os
import signal
import sys
from functools import partial

from loguru import logger
from returns.result import Failure, Success
from twisted.internet.error import CannotListenError

from figdoor_gateway.application import build_node, make_options
from figdoor_gateway.lifecycle import Lifecycle, SettingsReloader
from figdoor_gateway.logs import capture_twisted_errors, configure_logs
from figdoor_gateway.loop import reactor
from figdoor_gateway.memory import freeze_heap
from figdoor_gateway.settings import (
    Settings,
    describe_options,
    read_settings,
)
from figdoor_kernel import (
    Deployment,
    Extension,
    FigdoorError,
    load_plugins,
    render_findings,
)

EXIT_START = 1
EXIT_SETTINGS = 2
_USAGE = 'figdoor runs one node of the load balancer.\n\nSettings:\n'


def run() -> None:
    """Run the command; exit with 1 or 2 if the node cannot start."""
    if {'--help', '-h'} & set(sys.argv[1:]):
        sys.stdout.write(f'{_USAGE}{describe_options()}\n')
        return
    match read_settings(sys.argv, os.environ):
        case Success(settings):
            _run_or_exit(settings)
        case Failure(findings):
            sys.stderr.write(f'{render_findings(findings)}\n')
            sys.exit(EXIT_SETTINGS)


def _run_or_exit(settings: Settings) -> None:
    try:
        run_node(settings)
    except FigdoorError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_SETTINGS)
    except CannotListenError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_START)


def run_node(settings: Settings) -> None:
    """Run a node until a signal stops it."""
    configure_logs(settings.log_format, settings.log_level)
    capture_twisted_errors()
    deployment = Deployment(settings.deployment)
    node = build_node(settings, load_plugins(deployment=deployment))
    lifecycle: Lifecycle = node.part(Extension.SERVICE, 'lifecycle')
    reloader: SettingsReloader = node.part(
        Extension.SERVICE,
        'settings-reload',
    )
    reloader.configure(
        sys.argv,
        partial(read_settings, sys.argv, os.environ),
        make_options,
    )
    signal.signal(signal.SIGHUP, partial(_reload, reloader))
    on_stop_signal = partial(_stop, lifecycle)
    signal.signal(signal.SIGTERM, on_stop_signal)
    signal.signal(signal.SIGINT, on_stop_signal)
    # Must precede the loop, so that a port in use ends the process. The loop
    # would only log the error, and the node would run without a listener.
    lifecycle.run()
    freeze_heap()
    reactor.run(installSignalHandlers=False)


def _reload(reloader: SettingsReloader, *_: object) -> None:
    logger.info('received SIGHUP, reloading the settings')
    reactor.callFromThread(reloader.reload)


def _stop(lifecycle: Lifecycle, *_: object) -> None:
    logger.info('received a stop signal, shutting down')
    reactor.callFromThread(lifecycle.shut_down, reactor.stop)
