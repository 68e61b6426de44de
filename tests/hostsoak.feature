Feature: Soak test of real hosts under faults
  Signals, fault proxies and the store disturb host processes during client traffic.

  Scenario Outline: A short run of a seed violates no guarantee
    When the soak test runs seed <seed> for 14 seconds
    Then no guarantee is violated

    Examples: fixed seeds
      | seed |
      | 1    |
