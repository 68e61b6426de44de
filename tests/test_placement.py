"""Placement: the same home on every host, and only necessary moves."""

import unittest

from wisteriatiller.placement import PlacementTable, earlier_homes


def keys(count):
    return [index.to_bytes(12, "big") for index in range(count)]


class PlacementTests(unittest.TestCase):
    def setUp(self):
        self.table = PlacementTable((f"u{i}", 1.0) for i in range(7))

    def test_drain_moves_only_flows_of_the_drained_upstream(self):
        # Guards against a hash that reshuffles flows of other upstreams on a drain.
        after = PlacementTable((f"u{i}", 1.0) for i in range(6))
        for key in keys(2000):
            before = self.table.home(key)
            if before != "u6":
                self.assertEqual(after.home(key), before)

    def test_weight_gives_a_proportional_share(self):
        # Guards against weights that are ignored or applied twice.
        table = PlacementTable((("a", 1.0), ("b", 3.0)))
        share = sum(table.home(key) == "b" for key in keys(8000)) / 8000
        self.assertAlmostEqual(share, 0.75, delta=0.03)

    def test_earlier_homes_are_named_once_and_without_the_current_home(self):
        # Guards against claims sent to the flow's own home or sent twice.
        after = PlacementTable((f"u{i}", 1.0) for i in range(6))
        for key in keys(500):
            homes = earlier_homes(key, after, [self.table, after, self.table])
            moved = self.table.home(key) == "u6"
            self.assertEqual(homes, ["u6"] if moved else [])


if __name__ == "__main__":
    unittest.main()
