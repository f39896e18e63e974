"""Planned stop of an entry: every call that it has received gets an answer, and its callers leave it."""
import concurrent.futures
import http.client
import socket
import time
import unittest

import processes
from deployment import call, completion

HEADERS = {"Authorization": "Bearer example-clinics", "Content-Type": "application/json"}


def connect(url):
    host, port = url.removeprefix("http://").split(":")
    return http.client.HTTPConnection(host, int(port), timeout=15)


class EntryStopTest(processes.DeploymentTest):
    base_port = 28000
    targets = "1,1"
    engine_options = ("--token-ms", "60")

    def test_calls_in_a_stop(self):
        """Guards against a call that a stopping entry reads and never answers, and against connections that stay open."""
        url = self.deployment.caller(4)
        kept, unused = connect(url), connect(url)
        for connection in (kept, unused):
            connection.request("GET", "/nowhere", headers=HEADERS)
            self.assertEqual(connection.getresponse().read()[:1], b"{")
        body = completion("status of the trays", max_tokens=40)
        partial = connect(url)
        partial.putrequest("POST", "/v1/chat/completions")
        for name, value in (HEADERS | {"Content-Length": str(len(body))}).items():
            partial.putheader(name, value)
        partial.endheaders(body[:10])
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            stream = pool.submit(call, f"{url}/v1/chat/completions", "clinics", body)
            piped = socket.create_connection((kept.host, kept.port), timeout=15)
            lines = ["POST /v1/chat/completions HTTP/1.1", "Host: a", *(f"{k}: {v}" for k, v in HEADERS.items())]
            piped.sendall("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)
            time.sleep(0.5)
            process = self.deployment.processes.pop("entry-5")
            process.terminate()
            piped.sendall("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)
            time.sleep(0.3)
            self.assertEqual(unused.sock.recv(1), b"")
            partial.send(body[10:])
            refused = partial.getresponse()
            self.assertEqual((refused.status, refused.getheader("X-Figcleat-Code")), (503, "208"))
            self.assertEqual((refused.getheader("Connection"), refused.getheader("Retry-After")), ("close", "0"))
            refused.read()
            text = stream.result()[2]
        received = b""
        while piece := piped.recv(65536):
            received += piece
        self.assertEqual(process.wait(10), 0)
        self.assertTrue(text.rstrip().endswith("data: [DONE]"))
        self.assertEqual(received.count(b"HTTP/1.1 200 "), 1)
        self.assertEqual(received.count(b"data: [DONE]"), 1)
        self.assertEqual(received.count(b"HTTP/1.1 503 "), 1)
        for connection in (kept, unused, partial, piped):
            connection.close()
        self.deployment.start_daemon("entry-5")
        self.deployment.wait_ready(2, entry=4)


if __name__ == "__main__":
    processes.main()
