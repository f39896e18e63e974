"""What the tests on processes share."""
import argparse
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "examples"))

from deployment import Deployment  # noqa: E402

BUILD = "build"

# Settings file of the platform's program, as far as it reads it.
NODE_SETTINGS = """
node = "{name}"
ip = "{ip}"
zone = "{zone}"
internal-ports = [{mailbox},{mailbox}]
seeds = [{seeds}]
bootstrap = {bootstrap}
data-dir = "{folder}"
[zones]
{zones}
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{readiness}"
control = "{ip}:{control}"
[fault-tolerance]
machines = {tolerated}
[bounds]
grace-s = 8
retry-budget-ratio = 0.2
retry-budget-slack = 90
retry-window-s = 10
"""


def node_settings(ports, zones, first=True, **fields):
    """Text of a settings file; `ports` are those of mailbox, callers, readiness and control."""
    mailbox, callers, readiness, control = ports
    return NODE_SETTINGS.format(mailbox=mailbox, callers=callers, readiness=readiness, control=control,
                                zones="\n".join(f'{zone} = "region"' for zone in zones),
                                bootstrap="true" if first else "false", **fields)


class DeploymentTest(unittest.TestCase):
    """Starts one small deployment for all tests of a class and stops it gracefully at the end."""

    base_port = 0
    targets = "3,3"
    engine_options = ()
    engine_ports = None

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.mkdtemp(prefix="figcleat-test-")
        cls.deployment = Deployment(BUILD, cls.folder, cls.base_port, cls.targets)
        try:
            cls.prepare()
        except BaseException:
            cls.deployment.stop_all()
            raise

    @classmethod
    def prepare(cls):
        cls.deployment.start_all(*cls.engine_options, engine_ports=cls.engine_ports)
        cls.deployment.apply(cls.deployment.folder / "configuration.toml")
        count = sum(int(part) for part in cls.targets.split(","))
        for entry in range(8):
            cls.deployment.wait_ready(count, entry=entry)

    @classmethod
    def tearDownClass(cls):
        failed = cls.deployment.stop_all()
        if failed:
            raise AssertionError(f"{failed}; logs are in {cls.folder}")


def main():
    global BUILD
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=str(ROOT / "build"))
    given, rest = parser.parse_known_args()
    BUILD = given.build
    unittest.main(module="__main__", argv=[sys.argv[0], *rest], verbosity=2)
