"""Counts the scenarios that behave ran; scenarios in KNOWN-RED.txt may fail.

Exits with 1 when nothing ran, when a scenario outside KNOWN-RED.txt failed,
when a scenario was skipped or undefined, or when behave failed although no
scenario in KNOWN-RED.txt did.
"""

import json
import pathlib
import sys

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')


def known_red():
    """Return the scenario names listed as `test: NAME`."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def print_errors(scenario):
    """Print the error of each failed step of a scenario."""
    for step in scenario.get('steps', ()):
        message = step.get('result', {}).get('error_message')
        if message:
            print('\n'.join(message))


def main(report, status):
    """Print the counts of one behave JSON report and exit accordingly.

    :param status: exit status of behave.
    """
    allowed = known_red()
    passed, failed, red = 0, 0, 0
    for feature in json.loads(pathlib.Path(report).read_text() or '[]'):
        for scenario in feature.get('elements', ()):
            if scenario['type'] == 'background':
                continue
            if scenario.get('status') == 'passed':
                passed += 1
            elif scenario['name'].strip() in allowed:
                red += 1
                print('known red: {0}'.format(scenario['name']))
            else:
                failed += 1
                print('failed: {0}'.format(scenario['name']))
                print_errors(scenario)
    print('{0} passed, {1} failed'.format(passed, failed + red))
    is_unexplained = int(status) != 0 and not red
    return 1 if failed or not passed or is_unexplained else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1], sys.argv[2]))
