Feature: Pinned flows at the ingress
  Datagrams of a pinned flow of an opaque service go straight to its upstream.

  Scenario: A datagram of a pinned opaque flow bypasses the owner
    # Guards against a data path that involves the owner for every datagram.
    Given an ingress with a pinned flow of an opaque service
    When a datagram of the flow arrives
    Then it went straight to the upstream

  Scenario Outline: A pin is not used for <case>
    # Guards against datagrams that bypass the owner although it has to see them.
    Given an ingress with a pinned flow of an opaque service
    When <case> arrives
    Then it went to the owner

    Examples:
      | case                                          |
      | a datagram after the pin's refresh time       |
      | a datagram after the flow's idle limit        |
      | a datagram after the service became coap      |
      | a datagram of another flow                    |

  Scenario: A header with a TLV is not mistaken for the pinned one
    # Guards against a comparison of bytes that passes a longer header unread.
    Given an ingress with a pinned flow of an opaque service
    When a datagram with a header that is cut off inside a TLV arrives
    Then it was counted as bad
