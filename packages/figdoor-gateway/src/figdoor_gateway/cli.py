"""The command ``figdoor``: reads settings and runs one node."""

import os
import signal
import sys
from functools import partial

from loguru import logger
from returns.result import Failure, Success
from twisted.internet.error import CannotListenError

from figdoor_gateway.application import build_node, make_options
from figdoor_gateway.lifecycle import Lifecycle, SettingsReload
from figdoor_gateway.logs import capture_twisted_errors, configure_logs
from figdoor_gateway.loop import reactor
from figdoor_gateway.memory import settle_heap
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
    """Run the process; the entry point of the command."""
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
    """Run a node until it is told to stop."""
    configure_logs(settings.log_format, settings.log_level)
    capture_twisted_errors()
    deployment = Deployment(settings.deployment)
    node = build_node(settings, load_plugins(deployment=deployment))
    lifecycle: Lifecycle = node.part(Extension.SERVICE, 'lifecycle')
    reload: SettingsReload = node.part(Extension.SERVICE, 'settings-reload')
    reload.use(
        sys.argv,
        partial(read_settings, sys.argv, os.environ),
        make_options,
    )
    signal.signal(signal.SIGHUP, partial(_reload, reload))
    on_signal = partial(_stop, lifecycle)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    # Before the loop runs, so that a port in use ends the process. Inside the
    # loop the error was logged, and a node without a listener went on.
    lifecycle.run()
    settle_heap()
    reactor.run(installSignalHandlers=False)


def _reload(reload: SettingsReload, *_: object) -> None:
    logger.info('asked to read the settings again')
    reactor.callFromThread(reload.reload)


def _stop(lifecycle: Lifecycle, *_: object) -> None:
    logger.info('asked to stop')
    reactor.callFromThread(lifecycle.shut_down, reactor.stop)
