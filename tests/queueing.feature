Feature: Fair queueing between callers
  One caller's load must not delay the requests of the others.

  Scenario: A first-in, first-out queue starves the other callers
    # Shows that the load of the next scenario starves callers without fair queueing.
    When one of 40 callers sends at 50 times its share through a queue of kind "fifo"
    Then the other callers' p99 is more than 5 times that without the load

  Scenario: The fair queue bounds the other callers' waiting times
    # Guards against a busy caller that raises the others' p99 by more than half.
    When one of 40 callers sends at 50 times its share through a queue of kind "fair"
    Then the other callers' p99 is at most 1.5 times that without the load
    And no other caller's request was refused
    And no request waited behind two requests of one other caller

  Scenario: No caller overtakes a head request twice, in any order of arrivals
    # Guards against starvation of a request at the head of its caller's queue.
    When 6000 random arrivals, removals and departures of 30 callers are queued
    Then no head request was overtaken twice by one other caller
    And every queued request left the queue exactly once

  Scenario: The predicted queue position is that of round robin
    # Guards against admission control that counts a busy caller's whole backlog as
    # ahead of another caller's request, and so refuses that request.
    When callers queue 50, 3 and 1 requests
    Then a new caller's request has 3 requests ahead
    And the next request of the caller with 3 requests has 8 requests ahead

  Scenario: A full queue evicts the newest request of the busiest caller
    # Guards against a busy caller that fills the queue and so locks the others out.
    When callers queue 50, 3 and 1 requests
    Then the request to evict is the newest of the caller with 50 requests
