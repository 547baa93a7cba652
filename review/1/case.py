"""One machine of three loses its disk at each of its starts; the two others are never touched."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness"))

from deployment import (BOUNDS, CannotRun, Deployment, Operator, configuration, run_case,  # noqa: E402
                        with_trouble)
from platform_standin import ServerList  # noqa: E402

DOWN_S = 0.2  # "A process that exits or is killed is restarted after a short delay."
UP_S = (0.7, 0.85, 1.0, 0.7, 0.85)  # Between a start and the next loss of the disk of that machine.


def case(record):
    deployment = Deployment(record, core=3, fronts=1)
    try:
        ServerList(deployment.list_address)
        deployment.start()
        record.note("all machines started for the first time")
        operator = Operator(record, deployment)
        time.sleep(1.5)
        if operator.put(configuration(7), deployment.core, 10) is None:
            raise CannotRun("the first configuration was not acknowledged")
        time.sleep(BOUNDS["contactMs"] / 1000)
        deployment.require_running()
        faulty = deployment.core[2]
        if with_trouble():
            for up in (*UP_S, 0):
                faulty.lose_disk()
                record.note(f"{faulty.name} loses its disk; no other machine is touched")
                time.sleep(DOWN_S)
                faulty.start()
                record.note(f"{faulty.name} starts with an empty disk, bootstrap = false")
                time.sleep(up)
        # Nothing happens from here on: recoveryS, and contactMs for the core to become stable.
        time.sleep(BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000)
        record.note(f"all machines run; processes that ended by themselves: {deployment.ended_by_themselves()}")
        versions = operator.read_for(deployment.core, BOUNDS["contactMs"] / 1000 + 2)
        changed = operator.put(configuration(9), deployment.core, BOUNDS["ackMs"] / 1000 + 3) is not None
        record.note(f"versions read back after recovery: {sorted(versions)}; acknowledged before: 7; "
                    f"a further change was {'acknowledged' if changed else 'not acknowledged'}")
        return versions == {7} and changed
    finally:
        deployment.stop()


run_case(FOLDER, case)
