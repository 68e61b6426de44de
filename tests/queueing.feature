Feature: Queueing between callers
  One caller's load must not keep the others waiting.

  Scenario: First in, first out starves the other callers
    # Shows the failure that the fair queue guards against, in the same run.
    When one of 40 callers sends at 50 times its share through a queue of kind "fifo"
    Then the other callers' p99 is more than 5 times that without the load

  Scenario: The fair queue keeps the other callers' waits
    # Guards against a busy caller that delays others beyond 1.5 times their p99.
    When one of 40 callers sends at 50 times its share through a queue of kind "fair"
    Then the other callers' p99 is at most 1.5 times that without the load
    And no other caller's request was refused
    And no request waited behind two requests of one other caller

  Scenario: The turn rule holds for any order of arrivals
    # Guards against callers that overtake a waiting request twice.
    When 6000 random arrivals, removals and departures of 30 callers are queued
    Then no queued request was passed twice by one other caller
    And every queued request left the queue exactly once

  Scenario: The predicted position is that of round robin
    # Guards against admission that counts a busy caller's whole backlog as ahead.
    When callers queue 50, 3 and 1 requests
    Then a new caller's request has 3 requests ahead
    And the next request of the caller with 3 requests has 8 requests ahead

  Scenario: A full queue gives up the busiest caller's newest request
    # Guards against a busy caller that fills the queue and so keeps others out.
    When callers queue 50, 3 and 1 requests
    Then the request to give up is the newest of the caller with 50 requests
