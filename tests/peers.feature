Feature: Messages between hosts
  Each frame reaches the right host once, and no outside input stops the process.

  Scenario: A call over TCP streams gets its own reply
    # Guards against replies that complete the wrong call, and against lost frames.
    Given two hosts with TCP streams
    When 200 calls run at once over the streams
    Then each call over the streams got its own reply

  Scenario: Replayed, forged and malformed frames are dropped
    # Guards against an attacker who replays recorded bytes, forges frames, or relays
    # frames for one host to another.
    Given two hosts with TCP streams
    When a recorded stream is replayed, and garbage and a forged frame are sent
    Then no message of the attacker arrived and three streams were refused
    When a frame is replayed on its own stream, and a frame for one host goes to another
    Then only the original frame arrived and both streams were refused

  Scenario: Keys are rotated without a lost message
    # Guards against hosts that accept only the key that they sign with: during a
    # rotation, hosts sign with different keys.
    Given two hosts with TCP streams, one signing with the older key
    When 20 calls run at once over the streams
    Then each call over the streams got its own reply

  Scenario: A restarted peer is reached again
    # Guards against frames written to the stale stream of the previous process.
    Given two hosts with TCP streams
    When the second host restarts on the same address between two calls
    Then both calls around the restart got a reply

  Scenario: Handler errors are counted and broken invariants stop the process
    # Guards against a process that stops on a bad message, hides a handler's error or
    # runs on after a broken invariant.
    Given two hosts on the in-memory network
    When a handler raises an ordinary error and an undecodable frame arrives
    Then the errors were counted and the next call is answered
    And a broken invariant in a handler stops the run

  Scenario: Only a reply from the called host completes a call
    # Guards against a host that replies in place of another.
    Given two hosts on the in-memory network
    Then a reply from a third host does not complete a call

  Scenario: A UDP socket receives a burst larger than its limit for one wake-up
    # Guards against a reader that leaves the datagrams beyond the limit unread.
    When 300 datagrams are sent through a UDP socket in one burst
    Then all 300 datagrams of the burst arrived in order

  Scenario: An idle stream is closed and opened again when needed
    # Guards against idle streams and tasks that accumulate, and against frames lost
    # when a stream closes.
    Given two hosts with TCP streams
    When a call over the streams is repeated after the idle limit
    Then the stream was closed in between and both calls got a reply
