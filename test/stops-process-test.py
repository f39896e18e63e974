"""Short, seeded plays of planned stops beside pauses of targets, groups and the leader of the log."""
import unittest

import processes
import stops

BASE_PORT = 33700


class StopsTest(unittest.TestCase):
    def play(self, seed, *arguments):
        lost, summary = stops.run(processes.BUILD, seed, BASE_PORT, stops.parse(arguments))
        self.assertEqual(lost, [], summary)

    def test_pauses_of_one_target(self):
        """Guards against streams that a front cuts after it has left a target that goes on."""
        self.play(1, "--fronts", "6", "--cores", "1", "--targets", "3", "--group-size", "1", "--slots", "8", "--fill",
                  "0.85", "--stops", "5")

    def test_pauses_of_groups_and_of_the_leader(self):
        """Guards against streams that are cut in overlapping stops while a leader freezes and most slots are taken."""
        self.play(2, "--fill", "0.9", "--stops", "5")


if __name__ == "__main__":
    processes.main()
