"""A registry is replaced as planned; then another machine loses its disk, within what may be lost at once.

VARIANT=all replaces the three registries one second apart instead, each by a successor that has had catchUpS, and
nothing is lost at all.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness"))

from deployment import (BOUNDS, CannotRun, Deployment, Operator, configuration, run_case,  # noqa: E402
                        with_trouble)
from platform_standin import ServerList  # noqa: E402

AFTER_SIGTERM_S = 2.0  # Between the SIGTERM of the replaced machine and the loss of the other machine's disk.
DOWN_S = 1.0
GAP_S = float(os.environ.get("GAP", "1.0"))  # Of VARIANT=all, between two replacements.


def add_successor(record, deployment, leaving):
    successor = deployment.add(f"core-{len(deployment.machines)}", True)
    successor.bootstrap = False
    successor.start()
    record.note(f"{successor.name} is added with an empty disk; it will replace {leaving.name}")
    return successor


def remove(record, leaving):
    """SIGTERM, and SIGKILL after graceS; the machine does not come back."""
    record.note(f"SIGTERM to {leaving.name}, which is removed for good")
    stop = threading.Thread(target=leaving.terminate, args=(BOUNDS["graceS"],), daemon=True)
    stop.start()
    return stop


def replace_one(record, deployment):
    kept, loser, leaving = deployment.core
    successor = add_successor(record, deployment, leaving)
    # The successor has had catchUpS when its predecessor goes, so the removed machine does not count as lost.
    time.sleep(BOUNDS["catchUpS"] + 0.5)
    stop = remove(record, leaving)
    machines = deployment.seeds = [kept, loser, successor]
    if with_trouble():
        time.sleep(AFTER_SIGTERM_S)
        loser.lose_disk()
        record.note(f"{loser.name} loses its disk: the only machine that is lost now")
        time.sleep(DOWN_S)
        loser.start()
        record.note(f"{loser.name} starts with an empty disk, bootstrap = false")
    stop.join()
    return machines


def replace_all(record, deployment):
    if not with_trouble():
        return deployment.core
    machines = [add_successor(record, deployment, leaving) for leaving in deployment.core]
    time.sleep(BOUNDS["catchUpS"] + 0.5)
    stops = []
    for leaving in deployment.core:
        stops.append(remove(record, leaving))
        time.sleep(GAP_S)
    deployment.seeds = machines
    for stop in stops:
        stop.join()
    return machines


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
        work = replace_all if os.environ.get("VARIANT") == "all" else replace_one
        machines = work(record, deployment)
        record.note("the replaced machines have ended")
        time.sleep(BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000)
        record.note(f"processes that ended by themselves: {deployment.ended_by_themselves()}")
        versions = operator.read_for(machines, BOUNDS["contactMs"] / 1000 + 2)
        changed = operator.put(configuration(9), machines, BOUNDS["ackMs"] / 1000 + 3) is not None
        record.note(f"versions read back after recovery: {sorted(versions)}; acknowledged before: 7; "
                    f"a further change was {'acknowledged' if changed else 'not acknowledged'}")
        return versions == {7} and changed
    finally:
        deployment.stop()


run_case(FOLDER, case)
