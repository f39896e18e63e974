"""A short seeded run of the soak, and every seed that ever failed, with the cause that was found."""
import unittest

import processes
import soak

# Cause: seeds with their numbers of processes. CI plays the first seed of each cause
# with 30 processes at most, `all_regressions` all of them.
REGRESSIONS = {
    "a blank line before a request was cut between CR and LF, and the request denied with 400": [(1001, 5)],
    "a front had 160 MB and more resident while targets answered without end":
        [(3005, 5), (2013, 30), (2016, 30), (3001, 30), (3003, 30), (3010, 30), (4000, 30), (4008, 30), (4014, 30),
         (4015, 30), (4017, 30), (6100, 30), (6101, 30), (6106, 5), (6108, 30), (7103, 30)],
    "a connection of nng was used after it had been freed, and the process ended with SIGSEGV":
        [(8211, 30), (8312, 30)],
    "open: a front ended with SIGSEGV, once in 3 runs of the seed, during answers of 100 Continue without end":
        [(6104, 100)],
}


class SoakTest(unittest.TestCase):
    def play(self, seed, size, troubles=None):
        violations, summary = soak.run(processes.BUILD, seed, 31200, size, troubles)
        self.assertEqual(violations, [], summary)

    def play_all(self, count, largest):
        for cause, seeds in REGRESSIONS.items():
            for seed, size in [one for one in seeds if one[1] <= largest][:count]:
                with self.subTest(seed=seed, cause=cause):
                    self.play(seed, size)

    def test_seed(self):
        self.play(1, 5)

    def test_answers_without_end(self):
        """Guards against a front that exceeds its memory while all targets send lines without end."""
        self.play(1, 5, ("endless-head", "endless-continue"))

    def test_bodies_without_end(self):
        """Guards against a front that keeps all of a body that never ends, and fails its other callers with it."""
        self.play(2, 5, ("endless-body", "endless-event"))

    def test_regressions(self):
        self.play_all(1, 30)

    def all_regressions(self):
        self.play_all(None, 100)


if __name__ == "__main__":
    processes.main()
