"""A short seeded run of the soak, and every seed that ever failed, with the cause that was found."""
import unittest

import processes
import soak

# Seed and number of processes: what it found.
REGRESSIONS = {
    (1001, 5): "a blank line before a request was cut between CR and LF, and the request denied with 400",
    (3001, 30): "a front had 253 MB resident while targets answered without end",
    (4000, 30): "a front had 208 MB resident while targets answered without end",
}


class SoakTest(unittest.TestCase):
    def play(self, seed, size, troubles=None):
        violations, summary = soak.run(processes.BUILD, seed, 31200, size, troubles)
        self.assertEqual(violations, [], summary)

    def test_seed(self):
        self.play(1, 5)

    def test_answers_without_end(self):
        """Guards against a front that exceeds its memory while a target sends no end of lines."""
        self.play(1, 5, ("endless-head", "endless-continue"))

    def test_regressions(self):
        for (seed, size), cause in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                self.play(seed, size)


if __name__ == "__main__":
    processes.main()
