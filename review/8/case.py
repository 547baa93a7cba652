"""The last tenant is taken out of the configuration; requests without a valid key must not run afterwards."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))
import deployment  # noqa: E402

REVOKE_MS = 5000
KEY = "key-of-the-tenant"
NEVER_HELD = "key-that-no-config-held"


async def case(site, trouble):
    ran = []

    async def note(server, request, request_id, writer):
        ran.append((request_id, request.header("X-Api-Key"), request.header("X-Daisyroute-Tenant")))
        return NotImplemented

    for _ in range(2):
        (await site.add_server("alpha")).act = note
    await site.start_all()
    routes, services = [deployment.single("route-a", "/a/", "alpha")], [deployment.service("alpha")]
    tenant = {"name": "newsroom", "apiKeys": [KEY]}
    await site.put_config(routes, services, tenants=[tenant])
    await site.wait_ready()

    async def send(headers):
        return await site.request("/a/page", headers=headers)

    # Before: the key is served, the others are rejected.
    for _ in range(40):
        _, answer, _ = await send([("X-Api-Key", KEY)])
        if answer is not None and answer.status == 200:
            break
        await asyncio.sleep(0.1)
    else:
        raise deployment.CannotRun("the key is not served while it is held")
    _, answer, _ = await send([("X-Api-Key", NEVER_HELD)])
    if answer is None or answer.status != 401:
        raise deployment.CannotRun("an unknown key is not rejected while the tenant is there")

    acknowledged = await site.put_config(routes, services, tenants=[] if trouble else [tenant])
    await asyncio.sleep(max(0.0, acknowledged + (REVOKE_MS + 1000) / 1000.0 - time.monotonic()))
    ran.clear()
    requests = {}
    for _ in range(5):
        for name, headers in (("removed key", [("X-Api-Key", KEY)]), ("key never held", [("X-Api-Key", NEVER_HELD)]),
                              ("no key", []), ("no key, a tenant's name", [("X-Daisyroute-Tenant", "newsroom")])):
            if name == "removed key" and not trouble:
                continue
            request_id, answer, _ = await send(headers)
            requests[request_id] = (name, answer.status if answer else None)
    ids = {request_id for request_id, _, _ in ran}
    for name in dict.fromkeys(name for name, _ in requests.values()):
        sent = [request_id for request_id, (other, _) in requests.items() if other == name]
        site.record.tell(f"{name}: {sum(r in ids for r in sent)} of {len(sent)} ran, answers "
                         f"{[requests[r][1] for r in sent]}")
    site.record.tell(f"servers were handed a key {sum(key is not None for _, key, _ in ran)} times and a tenant's name "
                     f"that the client wrote {sum(tenant is not None for _, _, tenant in ran)} times")
    return not ran


deployment.play(FOLDER, case, strict="true", revoke_ms=str(REVOKE_MS))
