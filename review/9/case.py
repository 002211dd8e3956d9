"""Clients leave during an upload while the machine waits for servers that lost power."""

import asyncio
import fcntl
import os
import pathlib
import struct
import sys
import termios

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))
import fleet  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
SERVERS = {"osijek-a": 3, "beli-manastir": 1, "vukovar-a": 2, "osijek-b": 3, "darda": 1}
SERVERS["vukovar-b"] = 2
DARK_ZONE = "vukovar-a"
UPLOADS = 6
# `give_up`: a share of the clients (0.3) leave. These stay.
PATIENT_UPLOADS = 28
BODY_BYTES = 160_000
# `give_up`: half of the objective.
PATIENCE_S = 0.25
LATE_S = 0.5
A_FEW = 5


async def check():
    async with fleet.Deployment(FOLDER, [fleet.upload_route()]) as deployment:
        record, arrivals, closed = deployment.record, {}, {}

        def add_arrivals(server):
            async def run(head):
                return await server.run_request(head)

            def arrive(request_id):
                arrivals.setdefault(request_id, record.now())

            server.run, server.arrive = run, arrive

        for zone, count in SERVERS.items():
            for number in range(count):
                name = f"i-{zone}-{number + 1}"
                server = await deployment.add_server(name, zone, service="archive", work_s=0.65)
                add_arrivals(server)
        await deployment.start_machines()
        if IS_TROUBLED:
            for server in deployment.servers:
                if server.zone == DARK_ZONE:
                    record.write(f"server {server.name} loses power")
                    server.go_dark()

        async def upload_and_leave(machine, number):
            request_id = f"{machine.name}-{number}"
            headers = {"Host": fleet.HOST, "Request-Id": request_id, "Deadline-Ms": 4000}
            first = f"POST /archive/{number} HTTP/1.1"
            port = machine.ports["callers"]
            _, writer = await asyncio.open_connection(machine.ip, port)
            record.write(f"client sends {request_id} POST to {machine.name}")
            writer.write(fleet.to_bytes(first, headers, b"x" * BODY_BYTES))
            await asyncio.sleep(PATIENCE_S)
            # All bytes have reached the machine, so the close does so at once.
            connection = writer.get_extra_info("socket")
            left = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, b"\0" * 4)
            left = struct.unpack("i", left)[0] + writer.transport.get_write_buffer_size()
            closed[request_id] = record.now()
            record.write(f"client closes {request_id}, {left} bytes are still on their way")
            writer.close()

        async def upload_and_stay(number):
            others = [m for m in deployment.machines if m.zone != DARK_ZONE]
            await asyncio.sleep(number * 0.1)
            machine = others[number % len(others)]
            path, body = f"/archive/stay-{number}", b"x" * BODY_BYTES
            await deployment.send(machine, path, "POST", 4.0, body)

        machines = [m for m in deployment.machines if m.zone == DARK_ZONE]
        uploads = [upload_and_leave(m, n) for m in machines for n in range(UPLOADS)]
        uploads += [upload_and_stay(number) for number in range(PATIENT_UPLOADS)]
        await asyncio.gather(*uploads)
        await asyncio.sleep(0.5)
        late = [i for i, at in arrivals.items() if at > closed.get(i, at) + LATE_S]
        text = f"{len(late)} of {len(closed)} requests reached a server later than {LATE_S} s "
        text += f"after their client had closed its connection; allowed {A_FEW}"
        record.write(text)
        print(text)
        return len(late) > A_FEW


fleet.run(check)
