"""UNASKED: the body of a GET request that comes in chunks is dropped on the way to a back end."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))

from deployment import Backend, ask, request_id, route, run  # noqa: E402

SERVICE = "arhiva"
REQUESTS = 10


def encode(method, path, identity, body, chunked):
    head = (f"{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {identity}\r\n"
            "Deadline-Ms: 4000\r\n")
    if not chunked:
        return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
    half = len(body) // 2
    chunks = "".join(f"{len(c):x}\r\n{c}\r\n" for c in (body[:half], body[half:]))
    return f"{head}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n".encode()


async def case(deployment, trouble):
    backends = [Backend(deployment, f"i-{i}", SERVICE, "osijek-a") for i in range(3)]
    routes = [route("r-1", "/search/", "safe", SERVICE), route("r-2", "/claim/", "unsafe", SERVICE)]
    await deployment.start(["osijek-a", "osijek-b"], backends, routes, [SERVICE])
    sent = {}
    for number in range(REQUESTS):
        for method, path in (("GET", f"/search/{number}"), ("POST", f"/claim/{number}")):
            identity, body = request_id(), f'{{"field": "ditch {number}", "limit": 20}}'
            sent[identity] = (method, path, body)
            router = deployment.routers[number % 2]
            deployment.record.add(f"sent {identity} {method} {path} body of {len(body)} bytes")
            head, _, answer = await ask(
                router.callers, encode(method, path, identity, body, chunked=trouble))
            deployment.record.add(f"answer to {identity}: {head!r} {answer!r}")
    changed = 0
    for backend in backends:
        for identity, line, body in backend.ran:
            method, path, expected = sent[identity]
            if line != f"{method} {path} HTTP/1.1" or body.decode() != expected:
                changed += 1
                deployment.record.add(f"UNASKED {identity} ran with {body!r}, not {expected!r}")
    print(f"{changed} of {len(sent)} requests ran with another body than the client had sent")
    return changed > 0


run(case)
