"""HTTP as the soak speaks it: requests, the ways to send them, and clients that keep their connections."""
import asyncio
import contextlib
import dataclasses

HOST = "desk.example"
KEYS = {"till-key": "till", "tray-key": "tray"}
METHODS = {"book": ("POST", "PUT", "PATCH", "DELETE"), "look": ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
           "feed": ("GET", "POST")}
# Headers that a target must get as the caller sent them.
PASSED_ON = ("x-figcleat-model", "x-figcleat-token-count", "x-figcleat-prefix")
ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)
PIECES_SHARE = 0.4
# Cuts fall into the head and the beginning of the body.
CUT_BYTES = 500


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    return lines[0].split(" "), headers


async def read_head(reader):
    return parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(reader, headers):
    """Body of a message with a length or in chunks; IncompleteReadError if it ends early."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


async def write_in_pieces(writer, random, data):
    """Writes a few bytes at a time at first, or cuts the data at a few places."""
    end = min(len(data), CUT_BYTES)
    if random.random() < 0.3:
        cuts, at = [], 0
        while (at := at + random.randint(1, 9)) < min(end, 60):
            cuts.append(at)
    else:
        cuts = sorted({random.randrange(end) for _ in range(random.randint(1, 6))})
    for start, stop in zip([0, *cuts], [*cuts, len(data)]):
        writer.write(data[start:stop])
        await writer.drain()
        if stop < len(data):
            await asyncio.sleep(random.uniform(0.001, 0.015))


@dataclasses.dataclass
class Request:
    """What a caller sends, and so what a target has to get."""
    id: str
    kind: str
    method: str
    path: str
    headers: dict
    body: bytes
    key: str = ""

    @staticmethod
    def draw(random, number):
        kind = random.choice(tuple(METHODS))
        request = f"{kind}-{number}"
        path = f"/{kind}/" + "/".join(random.choice(("1", "tills", "a%20b", "return-notes", "x.y~z", "%C3%BC"))
                                      for _ in range(random.randint(1, 3)))
        path += random.choice(("", "", "?", "?q=xy", f"?page={random.randint(1, 99)}&empty=&sort=a%2Fb"))
        body = random.choice((
            b"", b"x", random.randbytes(random.randint(1, 400)),
            f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Figcleat-Attempt-Id: inside-{request}\r\n\r\n".encode()))
        if random.random() < 0.08:
            body = random.randbytes(300_000)
        headers = {}
        for name, value in (("X-Figcleat-Model", f"model-{random.randint(1, 5)}"),
                            ("X-Figcleat-Token-Count", f"{random.randint(1, 900)},{random.randint(1, 90)}"),
                            ("X-Figcleat-Prefix", f"{random.getrandbits(64):016x}")):
            if random.random() < 0.8:
                headers[name] = value
        return Request(request, kind, random.choice(METHODS[kind]), path, headers, body,
                       random.choice(("", *KEYS)))

    def encode(self, random):
        headers = {"Host": HOST, "X-Figcleat-Attempt-Id": self.id, "X-Figcleat-Deadline-Ms": "2500", **self.headers}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        if random.random() < 0.1:
            # Only the front names the workspace.
            headers["X-Figcleat-Tenant"] = "forged"
        body = self.body
        if body and random.random() < 0.3:
            headers["Transfer-Encoding"] = "chunked"
            cuts = [0, *sorted(random.sample(range(1, len(body)), min(3, len(body) - 1))), len(body)]
            body = b"".join(f"{stop - start:x}\r\n".encode() + body[start:stop] + b"\r\n"
                            for start, stop in zip(cuts, cuts[1:])) + b"0\r\n\r\n"
        elif body or random.random() < 0.5:
            headers["Content-Length"] = len(body)
        blank = "\r\n" * random.choice((0, 0, 0, 0, 1, 2))
        return (blank + head_of(f"{self.method} {self.path} HTTP/1.1", headers)).encode() + body

    def differences(self, method, path, headers, body):
        """Names of what a target got and this caller did not send, with both values; a body of None was not read."""
        expected = {"method": self.method, "path": self.path, "host": HOST, "x-figcleat-tenant": KEYS.get(self.key)}
        expected |= {name: None for name in PASSED_ON} | {name.lower(): value for name, value in self.headers.items()}
        got = {**{name: headers.get(name) for name in expected}, "method": method, "path": path}
        if body is not None:
            expected["body"], got["body"] = self.body, body
        return [f"{name} {got[name]!r:.90} instead of {expected[name]!r:.90}" for name in expected
                if got[name] != expected[name]]


def head_of(first, headers):
    return "\r\n".join([first, *(f"{name}: {value}" for name, value in headers.items())]) + "\r\n\r\n"


class Client:
    """Keeps one connection to each server and uses it until the server closes it."""

    def __init__(self, random):
        self.random, self.open = random, {}

    async def talk(self, address, requests, timeout):
        """Sends all requests at once; answers in their order, fewer if the connection ends or the time is over."""
        answers = []
        with contextlib.suppress(*ERRORS, ValueError):
            async with asyncio.timeout(timeout):
                reader, writer = await self.connect(address)
                data = b"".join(requests)
                if self.random.random() < PIECES_SHARE:
                    await write_in_pieces(writer, self.random, data)
                else:
                    writer.write(data)
                while len(answers) < len(requests):
                    (_, status, *_), headers = await read_head(reader)
                    answers.append((int(status), headers, (await read_body(reader, headers))))
                    if headers.get("connection", "").lower() == "close":
                        break
                else:
                    return answers
        self.drop(address)
        return answers

    async def connect(self, address):
        reader, _ = self.open.get(address, (None, None))
        if reader is None or reader.at_eof() or reader.exception() or self.random.random() < 0.05:
            self.drop(address)
            self.open[address] = await asyncio.open_connection(*address)
        return self.open[address]

    def drop(self, address):
        _, writer = self.open.pop(address, (None, None))
        if writer is not None:
            writer.transport.abort()

    def close(self):
        for address in list(self.open):
            self.drop(address)
