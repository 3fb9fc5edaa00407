"""Runs the command ``figdoor`` where no script of it is installed."""

from figdoor_gateway.cli import run

if __name__ == '__main__':
    run()
