Feature: Pages of different ages
  A stale listing may have pages of any ages, in any order. Each of them proves what it
  covers, and nothing about other entries.

  Scenario Outline: An older page takes back nothing
    # Incident stale-pages, review/7. Guards against a drained upstream that gets new
    # flows, and a removed or added one that is forgotten, after a page from a replica
    # that is behind those of the other pages.
    Given a store with upstreams 1 to 6 where at revision 12 upstream <number> <change>
    And a host that has read all at revision 12
    When it reads ids up to 3 at revision <first> and the others at revision <second>
    Then it knows upstream <number> as at revision 12
    And pages of revision 10 are reported as older than revision 12

    Examples:
      | number | change | first | second |
      | 1      | drains | 10    | 12     |
      | 1      | leaves | 10    | 14     |
      | 0      | joins  | 10    | 14     |
      | 6      | drains | 12    | 10     |
      | 6      | drains | 14    | 10     |
      | 6      | leaves | 14    | 10     |
      | 7      | joins  | 14    | 10     |

  Scenario Outline: A newer page counts beside an older one
    # Guards against a drain that waits for the next current read though it was read.
    Given a store with upstreams 1 to 6 where at revision 12 upstream <number> drains
    And at revision 14 upstream <other> drains
    And a host that has read all at revision 12
    When it reads ids up to 3 at revision <first> and the others at revision <second>
    Then it knows upstream <number> as at revision 12
    And it knows upstream <other> as at revision 14

    Examples:
      | number | other | first | second |
      | 1      | 6     | 10    | 14     |
      | 6      | 1     | 14    | 10     |

  Scenario: A first listing believes each page as much as its age allows
    # Guards against a start from stale pages after which a newer page is left out, since
    # another one was newer still.
    Given a store with upstreams 1 to 6 where at revision 12 upstream 6 drains
    And a host without a listing
    When it reads ids up to 3 at revision 14 and the others at revision 10
    And it reads ids up to 3 at revision 12 and the others at revision 12
    Then it knows upstream 6 as at revision 12

  Scenario: Pages of an older epoch take back nothing
    # Guards against revisions of a lost history that are compared with newer ones.
    Given a store with upstreams 1 to 6 that was restored
    And at revision 12 upstream 6 drains
    And a host that has read all at revision 12
    When it reads the lost history at revision 20
    Then it knows upstream 6 as at revision 12
    And the lost history is reported as older

  Scenario: Pages of a new epoch replace those of any revision
    # Guards against a page of the lost history that outlives the restore, because its
    # revision is higher.
    Given a store with upstreams 1 to 6 that was restored
    And at revision 12 upstream 6 drains
    And a host that has read the lost history at revision 30
    When it reads ids up to 3 at revision 13 and the others at revision 12
    Then it knows upstream 6 as at revision 12
    And nothing is reported as older

  Scenario: A follower gets the newer pages of a listing whose oldest page it has
    # Guards against a wrong listing that an equal position confirms, since hosts told
    # listings by their oldest pages.
    Given a store with upstreams 1 to 6 where at revision 12 upstream 6 drains
    And a host that has read all at revision 10
    And a follower that has copied it
    When it reads ids up to 3 at revision 10 and the others at revision 12
    And the follower asks it
    Then the follower knows upstream 6 as at revision 12
    When the follower asks it
    Then the follower gets no entry and has confirmed its listing

  Scenario: An answer that tells of another listing confirms nothing
    # Guards against a host that takes the age of another listing for that of its own.
    Given a store with upstreams 1 to 6 where at revision 12 upstream 6 drains
    And a host that has read all at revision 10
    And a follower that has copied it
    When it reads ids up to 3 at revision 10 and the others at revision 12
    And the follower gets its answer without the entries
    Then the follower has not confirmed its listing

  Scenario: Two readers with pages of different ages end with the newest of each
    # Guards against hosts that reject each other's listings for good.
    Given a store with upstreams 1 to 6 where at revision 12 upstream 1 drains
    And at revision 14 upstream 6 drains
    And a host that has read all at revision 10
    And a follower that has copied it
    When it reads ids up to 3 at revision 12 and the others at revision 10
    And the follower reads ids up to 3 at revision 10 and the others at revision 14
    And the follower asks it
    And it asks the follower
    Then both have the same listing
    And it knows upstream 1 as at revision 12
    And it knows upstream 6 as at revision 14

  Scenario: Any pages and exchanges leave the newest page of each id
    # Guards against any order of pages, changes, restores and deltas after which a host
    # knows an entry older than the newest page of it that has reached the host.
    Then in any history each host knows each entry from its newest page

  Scenario: A page covers the ids up to its last key
    # Guards against entries of one page that are judged by the revision of another.
    Given pages that end with "servers/i-5" at revision 9, "servers/i-7" at 9 and none at 4
    Then the listing has a page up to "i-7" at revision 9 and one beyond it at revision 4
    And its position is revision 4, and its newest is revision 9

  Scenario: Operators' values are as old as their oldest page
    # Guards against the same assumption in the other read of several pages: a watch
    # from a newer page would miss changes of an older one.
    Given pages of operators' values at revisions 12 and 10
    Then the position of the operators' values is revision 10

  Scenario: Pages from before and after a restore do not count as an outage
    # Guards against a doubt of all entries, and a pause, each time that a stale listing
    # has a page of a replica which was not restored yet.
    Given a host that polls the store and has read its listing
    When its next, stale read finds pages of two epochs
    Then it reads the newest entries at once
    And it has not lost the store

  Scenario: Pages of two epochs in a current read count as a failure
    # Guards against a loop of calls to a store whose epochs keep changing.
    Given a host that polls the store and has read its listing
    When its next two reads find pages of two epochs
    Then it waits before its next read

  Scenario: An answer whose pages do not cover all ids is rejected
    # Guards against a malformed message between hosts that stops one of them.
    Then a snapshot with these last ids of its pages is rejected
      | last ids    |
      |             |
      | a           |
      | a, b        |
      | b, a, none  |
      | a, a, none  |
      | none, none  |
      | 7, none     |
