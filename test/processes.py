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
