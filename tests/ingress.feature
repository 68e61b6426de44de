Feature: Pinned flows at the ingress
  Datagrams of a pinned flow of an opaque service go straight to its upstream.

  Scenario: A datagram of a pinned opaque flow bypasses the owner
    # Guards against sending every datagram through the owner.
    Given an ingress with a pinned flow of an opaque service
    When a datagram of the flow arrives
    Then it is sent straight to the upstream

  Scenario Outline: A pin is not used for <case>
    # Guards against datagrams that bypass the owner although it has to handle them.
    Given an ingress with a pinned flow of an opaque service
    When <case> arrives
    Then it is sent to the owner

    Examples:
      | case                                          |
      | a datagram after the pin's refresh time       |
      | a datagram after the flow's idle timeout      |
      | a datagram after the service became coap      |
      | a datagram of another flow                    |

  Scenario: A header with a TLV does not match a pinned header
    # Guards against a byte comparison that accepts a longer header unparsed.
    Given an ingress with a pinned flow of an opaque service
    When a datagram with a header truncated inside a TLV arrives
    Then it is counted as bad
