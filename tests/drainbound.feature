Feature: The bound of drains
  Every host in touch knows a drain within its bound, whomever it asks meanwhile.

  Scenario Outline: Drains are known in time while the first hosts of a zone fail
    # Incident late-drains, review/3. Guards against waits for several hosts that add up
    # to more than the bound, on top of the age of what the last one had told.
    Given 9 hosts in one zone whose stale reads lag by 8 seconds
    When the first <count> hosts are <fault> at 40 moments around a drain
    Then every other host knows each drain within 3 seconds

    Examples:
      | count | fault    |
      | 1     | dark     |
      | 2     | dark     |
      | 3     | dark     |
      | 5     | dark     |
      | 3     | frozen   |
      | 5     | frozen   |
      | 1     | cut off  |
      | 3     | cut off  |
      | 3     | replaced |
      | 5     | replaced |

  Scenario: Drains are known in time after hosts were removed for good
    # The second form of review/3. Guards against hosts that ask removed hosts again and
    # again and miss drains meanwhile.
    Given 9 hosts in one zone whose stale reads lag by 8 seconds
    When the first 3 hosts are removed and an upstream drains and returns for 60 seconds
    Then every other host knows each drain within 3 seconds

  Scenario: A host that starts knows drains in time
    # Guards against a start from a peer whose listing is as old as the bound.
    Given 9 hosts in one zone whose stale reads lag by 8 seconds
    When a host starts at 40 moments after a drain while the first 3 hosts are dark
    Then every other host knows each drain within 3 seconds

  Scenario Outline: Drains are known in time and for good while stale pages differ
    # Incident stale-pages, review/7. Guards against pages that are behind the others,
    # or all others, and bring a drained upstream back, or keep a drain from hosts.
    Given 9 hosts in one zone whose stale pages lag by <lags> seconds in turn
    When upstream <name> drains and returns again and again for 60 seconds
    Then every other host knows each drain within 3 seconds

    Examples:
      | name | lags          |
      | 2    | 6.0, 0.0      |
      | 2    | 0.0, 6.0      |
      | 1    | 6.0, 0.0      |
      | 1    | 0.0, 6.0      |
      | 2    | 0.0, 6.0, 1.0 |
      | 1    | 6.0           |

  Scenario Outline: Pages that are left out cost no calls to the store
    # Guards against a reader that counts as one without a store, since it has left out
    # what it read, so that other hosts read for themselves.
    Then stale pages of different ages cost no call <when>

    Examples:
      | when                 |
      | in quiet times       |
      | while entries change |

  Scenario Outline: The parts of the longest wait are less than the bound
    # Guards against a change of one wait that leaves no time for a host's own read.
    Then with a drain bound of <bound_s> seconds a listing is read anew <left_s> seconds before its end
    And in quiet times a listing is confirmed before that

    Examples:
      | bound_s | left_s |
      | 3       | 0.5    |
      | 5       | 0.5    |

  Scenario Outline: In quiet times no host reads on its own because of the bound
    # Guards against calls to the store that grow with the number of hosts.
    Given <hosts> sharing hosts in <zones> zones in quiet times
    Then no listing becomes overdue in 60 seconds

    Examples:
      | hosts | zones |
      | 12    | 3     |
      | 40    | 1     |
