Feature: Messages between hosts
  Frames reach the right host once, and nothing from outside stops the process.

  Scenario: A call over TCP streams gets its own reply
    # Guards against replies that reach another call, and against lost frames.
    Given two hosts with TCP streams
    When 200 calls run at once over the streams
    Then each call over the streams got its own reply

  Scenario: Replayed, forged and malformed frames are dropped
    # Guards against an outsider who repeats recorded bytes or sends garbage.
    Given two hosts with TCP streams
    When a recorded stream is replayed, and garbage and a forged frame are sent
    Then no message of the outsider arrived and three streams were refused
    When a frame is repeated on its own stream, and frames for one host go to another
    Then only the first of the repeated frames arrived

  Scenario: Keys are rotated without a lost message
    # Guards against hosts that accept only the key they sign with.
    Given two hosts with TCP streams, one signing with the older key
    When 20 calls run at once over the streams
    Then each call over the streams got its own reply

  Scenario: A restarted peer is reached again
    # Guards against frames that are written to the stream of a former process.
    Given two hosts with TCP streams
    When the second host restarts on the same address between two calls
    Then both calls around the restart got a reply

  Scenario: Handler errors are counted and broken invariants stop the process
    # Guards against a faulty message that ends the process, and a fault that is hidden.
    Given two hosts on the in-memory network
    When a handler raises an ordinary error and an undecodable frame arrives
    Then the errors were counted and the next call is answered
    And a broken invariant in a handler stops the run

  Scenario: A reply counts only from the host that was called
    # Guards against a host that answers in the place of another.
    Given two hosts on the in-memory network
    Then a reply from a third host does not end a call

  Scenario: Datagrams pass through UDP sockets
    # Guards against a reader that stops after its limit for one wake-up.
    When 300 datagrams are sent through a UDP socket in one burst
    Then all 300 datagrams of the burst arrived in order

  Scenario: A stream that is not used is closed and opened again when needed
    # Guards against streams and tasks that pile up, and a frame lost by the closing.
    Given two hosts with TCP streams
    When a call over the streams is repeated after the idle limit
    Then the stream was closed in between and both calls got a reply
