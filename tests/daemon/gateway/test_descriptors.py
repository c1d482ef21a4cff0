"""A host whose callers keep more connections than it has descriptors.

Load pattern: callers send one request each and keep their connections open, while new
ones go on arriving.
"""

from __future__ import annotations

import http.client
import resource

from almondgap_testkit.gateways.builders import HOST_NAME, KEY
from almondgap_testkit.gateways.site import CALLERS_PORT, Site
from tests.daemon.gateway.site_case import SiteTestCase

DESCRIPTORS = 120
CALLERS = 300


class DescriptorTests(SiteTestCase):
    def test_targets_stay_in_service(self):
        site = self.start(hosts=())
        site.descriptors = DESCRIPTORS
        site.start_host("h1")
        pid = site.processes["h1"].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
        conns = []
        self.addCleanup(lambda: [conn.close() for conn in conns])
        for number in range(CALLERS):
            conn = open_connection(site, number)
            conns.append(conn)
            response = conn.getresponse()
            response.read()
            self.assertEqual(response.status, 200, number)
        # Targets that fail are marked as down, and their connections are closed.
        down = [line for line in site.read_log("h1") if line.get("state") == "down"]
        self.assertEqual(down, [])


def open_connection(site: Site, number: int) -> http.client.HTTPConnection:
    """Return a new connection on which a request was sent."""
    address = site.address("h1", CALLERS_PORT)
    conn = http.client.HTTPConnection(address, timeout=5)
    headers = {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {KEY}",
        "X-Almondgap-Request-Attempt-Id": f"d{number}",
        "X-Almondgap-Deadline-Ms": "3000",
    }
    conn.request("GET", "/reads/1", headers=headers)
    return conn
