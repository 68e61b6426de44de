Feature: Balancing of flows over upstreams
  Flows and requests are spread evenly, by what owners measure rather than by what
  upstreams report.

  Scenario: Open flows stay evenly spread while all of them reconnect
    # Guards against placement by hash alone, which gives some upstreams too many flows.
    When 15 upstreams get 200 flows each within 30 s
    Then the largest number of open flows is at most 1.05 times the mean
    And placement by hash alone exceeds 1.05 times the mean in the same run

  Scenario: A slow upstream gets no more than its share
    # Guards against a half-speed upstream that gets as many flows as the others.
    When 5 upstreams at 80 percent load include one with the fault "half_speed"
    Then its busy slots are at most 1.10 times the mean

  Scenario: False reports of an upstream shift no load
    # Guards against trust in reports that contradict the owner's own measurements.
    When 5 upstreams at 80 percent load include one with the fault "lying_reports"
    Then the busy slots of every upstream are within 1.10 times the mean
    And the upstream that reports shedding still gets its flows

  Scenario: A restarted upstream is not overloaded
    # Guards against owners that all divert flows to the only upstream with capacity.
    When one of 5 upstreams crashes at 80 percent load and restarts cold
    Then no upstream ever had more requests than slots
    And the restarted upstream never had more than 1.25 times the others' load

  Scenario: Outdated loads are ignored
    # Guards against placement by the last load summary of an owner that has failed.
    Given three upstreams of which one was reported without flows 6 seconds ago
    Then 200 new flows all open at their homes

  Scenario: A flapping upstream is out of service for longer each time
    # Guards against flows that are repeatedly opened on a failing upstream.
    When an upstream fails for 4 s each time it has come up
    Then it is out of service for about 10, 20, 40, 60 and 60 s

  Scenario: Slow start gradually raises the requests in flight
    # Guards against a cold upstream that gets its full load at once.
    When an upstream with 8 slots and 10 s of slow start reports cold
    Then it is allowed 1, 2, 4, 6 and 8 requests after 0, 2, 5, 8 and 10 s

  Scenario: An upstream's clock that goes back indicates a restart
    # Guards against a restart between two probes that is not detected.
    When an upstream's clock goes back by 5 s between two probes
    Then a restart is detected and slow start begins

  Scenario: A dependency without a live upstream leads to early refusal
    # Guards against requests that start although their dependency cannot serve them.
    When the last of three services in a chain has no live upstream
    Then the first service starts no request and refuses within 1 ms
