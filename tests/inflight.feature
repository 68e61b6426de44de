Feature: Answers find their own request
  A piggybacked answer names the message id; a separate one names only the token.

  Scenario: A late separate answer does not reach a later request with its token
    # Guards against an answer of a request that was given up, delivered to the next
    # request of the flow because the caller used the token again.
    Given a request in flight whose token was used before by a request without an answer
    When a separate answer with that token arrives
    Then the separate answer belongs to no request in flight
    And a piggybacked answer with the message id belongs to its request

  Scenario: A separate answer reaches the only request with its token
    # Guards against separate answers that are dropped without a reason.
    Given a request in flight whose token was used before by an answered request
    When a separate answer with that token arrives
    Then the separate answer belongs to the request in flight
