Feature: Listings in pages
  A listing is read completely whatever other writers leave among its entries.

  Scenario Outline: A page may end with any key
    # Guards against a key of another writer that hides all upstreams after it, or that
    # makes every listing fail, since it stands in the URL of the next page.
    Given a store with 3 upstreams after <entries> of another writer, the last at <key>
    Then the store client lists the 3 upstreams

    Examples:
      | entries     | key                             |
      | 500 entries | "servers/%7Einventory"          |
      | 500 entries | "servers/a%26b"                 |
      | 500 entries | "servers/50%"                   |
      | 500 entries | "servers/a&b=c"                 |
      | 500 entries | "servers/a+b"                   |
      | 500 entries | "servers/a#b"                   |
      | 500 entries | "servers/a b "                  |
      | 500 entries | "servers/a\"b'c"                |
      | 500 entries | "servers/a?b;c,d:e@f\\g"        |
      | 500 entries | "servers/a\r\nHost: x\r\n\r\n"  |
      | 500 entries | "servers/a\u0000\u0001\u001f\u007f" |
      | 500 entries | "servers/a\tb"                  |
      | 500 entries | "servers/a\u015f\u0131k \u011f" |
      | 500 entries | "servers/a\u20ac\ud83d\ude00" |
      | 500 entries | "servers/a\udcff\udc80"         |
      | large value | "servers/"                      |
      | large value | "servers/%7Einventory"          |
      | large value | "servers/a&b=c"                 |
      | large value | "servers/a b "                  |
      | large value | "servers/a\udcff\udc80"         |

  Scenario Outline: A page of the operators' values may end with any key
    # Guards against the same fault in the other read of several pages.
    Given a store with evacuated zones after a large value at <key>
    Then the store client reads both evacuated zones

    Examples:
      | key                  |
      | "op/%7Einventory"    |
      | "op/config a&b=c#d"  |
      | "op/a\udcff"         |

  Scenario: Pages are in the order of the bytes of their keys
    # Guards against a listing that is rejected because keys that are no UTF-8 have
    # another order as text.
    Given a page that ends with "servers/\ud83d\ude00" and one that begins with "servers/\udcff"
    Then the second page is accepted after the first one

  Scenario: An empty page is the last one only if the store says so
    # Guards against a listing that lacks all upstreams of the pages that follow.
    Given a first page, and a second one that is empty and truncated
    Then the second page is rejected

  Scenario: A page is read completely where values are small
    # Guards against a limit of the response that follows from the size of one value.
    Given a store with 3 upstreams after large value of another writer, the last at "servers/a"
    When the settings limit values to 1000 bytes
    Then the store client lists the 3 upstreams

  Scenario Outline: A zone may have any name
    # Guards against a request to another host that it cannot read.
    Given a snapshot request of a host in zone <zone>
    Then it is decoded as it was, from a target without spaces

    Examples:
      | zone                 |
      | "zone-a"             |
      | "zone, a & b % c"    |
      | "b\u00f6lge \u00e7"  |
