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
