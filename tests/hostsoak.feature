Feature: Soak of real hosts under faults
  Signals, proxies and the store disturb real processes while clients go on.

  Scenario Outline: A short run of a seed breaks no promise
    When the soak plays seed <seed> for 14 seconds
    Then no promise is broken

    Examples: fixed seeds
      | seed |
      | 1    |
