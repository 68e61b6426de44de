Feature: Bursts of uploads through a host with a thin link
  An upload has 40,000 bytes in packets of 1,200, of which 16 may be on their way. A host
  keeps packets that meet a full link for a while, since the client would need 200 ms and
  more to repeat them.

  Scenario: A burst of uploads at 2.6 times the usual rate loses no packet
    # Guards against packets that a weak host loses although its link has room for all.
    # Load: uploads at 2.6 times the usual rate of one host, at random times, 60 s.
    Given a host whose link sends 5 Mbit/s
    When uploads come at 2.6 times the usual 0.36 a second, for 60 seconds
    Then every upload arrives, and no packet was sent twice
    And the host has dropped no packet

  Scenario: Uploads that begin at the same moment lose no packet
    # Guards against a full send buffer, at which each further packet was dropped. Load:
    # 10 uploads at one moment, 2.6 times the most of four that usually meet there.
    Given a host whose link sends 5 Mbit/s
    When 10 uploads begin at the same moment
    Then the host has held packets, and dropped none but copies of those
    And every upload arrives within its deadline of 6.7 s

  Scenario: The host holds a bounded number of packets
    # Guards against memory that grows with the load, and against packets that are sent
    # long after their client has repeated them. Load: 60 uploads at one moment, nine
    # times what the link sends before the clients repeat their packets.
    Given a host whose link sends 5 Mbit/s
    When 60 uploads begin at the same moment
    Then the host has held at most 250000 bytes
    And the packets that it has dropped are counted

  Scenario: Packets are sent in their order after the link was full
    # Guards against a later packet that overtakes those that are held.
    Given a host whose link sends 5 Mbit/s
    When 10 uploads begin at the same moment
    Then the packets of each upload arrive in the order in which they were sent

  Scenario: Packets that wait while a host is suspended are kept
    # Guards against a receive buffer that is too small for the time in which a host
    # refreshes its state after a pause. Load: what 5 uploads may have on their way, on
    # real loopback sockets.
    Given a data path on loopback sockets that is suspended
    When the first 16 packets of 5 uploads arrive, and reading is resumed
    Then all 80 packets are forwarded

  Scenario: A stopping host counts the packets that it could no longer send
    # Guards against losses that no metric shows.
    Given a host whose link sends 5 Mbit/s
    When 10 uploads begin at the same moment, and the host closes 20 ms later
    Then the packets that it has dropped are counted

  Scenario: A host without zone findings sends as before
    # Guards against a change on the deployments that do not ask for one. Load: 10 uploads
    # at one moment.
    Given a host without zone findings, whose link sends 5 Mbit/s
    When 10 uploads begin at the same moment
    Then the host has held no packet, and counted each that it could not send
