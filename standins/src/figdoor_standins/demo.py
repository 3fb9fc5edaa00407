"""``make demo``: real requests through two gateways on loopback."""

import sys
from pathlib import Path

from figdoor_standins.processes import Deployment, http

TABLES = Path(__file__).parents[3] / 'examples' / 'fountain-dispatch'


def main():
    """Run the demo; returns the exit code."""
    with Deployment() as deployment:
        deployment.platform.publish(
            (TABLES / 'routes.csv').read_text(encoding='utf-8'),
            (TABLES / 'pools.csv').read_text(encoding='utf-8'),
        )
        for number in range(4):
            zone = f'south-{number % 2 + 1}'
            deployment.add_upstream(f'wo-{number}', 'work-orders', zone)
        for number in range(2):
            zone = f'south-{number + 1}'
            deployment.add_gateway(f'entry-{number}', zone)
        deployment.wait_ready()
        deployment.wait_answering(
            '/work-orders/first',
            {'Host': 'dispatch.example'},
        )
        answered = 0
        for turn in range(50):
            gateway = deployment.gateways[turn % 2]
            status, headers, _ = http(
                gateway.port,
                f'/work-orders/{turn}',
                headers={'Host': 'dispatch.example'},
            )
            told = headers['figdoor-outcome']
            answered += (status, told) == (200, 'answered')
        print(f'{answered} of 50 requests answered')
        codes = [gateway.stop() for gateway in deployment.gateways]
    return 0 if answered == 50 and codes == [0, 0] else 1


if __name__ == '__main__':
    sys.exit(main())
