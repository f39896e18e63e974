"""A short seeded run of the soak, and every seed that ever failed, with the cause that was found."""
import unittest

import processes
import soak

# Seed: what it found.
REGRESSIONS = {}


class SoakTest(unittest.TestCase):
    def play(self, seed):
        violations, summary = soak.run(processes.BUILD, seed, 31200)
        self.assertEqual(violations, [], summary)

    def test_seed(self):
        self.play(1)

    def test_regressions(self):
        for seed, cause in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                self.play(seed)


if __name__ == "__main__":
    processes.main()
