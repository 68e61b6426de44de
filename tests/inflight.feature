Feature: Matching of answers with requests in flight
  A piggybacked answer carries the message id and the token, a separate one only the
  token.

  Scenario: A late separate answer is not matched with a later request
    # Guards against the late answer of a timed-out request that is delivered for the
    # next request of the flow because the caller reused the token.
    Given a request in flight whose token was used before by a request without an answer
    When a separate answer with that token arrives
    Then the separate answer belongs to no request in flight
    And a piggybacked answer with the message id belongs to its request

  Scenario: A separate answer is matched by its token
    # Guards against separate answers that are dropped because an earlier request, which
    # was answered, had the same token.
    Given a request in flight whose token was used before by an answered request
    When a separate answer with that token arrives
    Then the separate answer belongs to the request in flight
