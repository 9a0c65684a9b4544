Feature: A session reads its own writes
  Replicas lag. A session sees what it has written, whichever entry host it uses.

  Background:
    Given two entry hosts before a primary and two replicas
    And a table "delivery"

  Scenario: A write is read from the primary while the replicas lag
    Given the replicas replay nothing
    And session "dispatcher" is connected to entry host 1
    When the session books delivery "d1" of "900" litres
    Then the session reads "900" litres for delivery "d1"
    And the read ran on the primary because "REPLICAS_BEHIND"

  Scenario: A write is read from a replica that has replayed it
    Given session "dispatcher" is connected to entry host 1
    When the session books delivery "d1" of "900" litres
    And the replicas have caught up
    Then the session reads "900" litres for delivery "d1"
    And the read ran on a replica

  Scenario: A session that moves to another entry host still sees its write
    Given the replicas replay nothing
    And session "dispatcher" is connected to entry host 1
    When the session books delivery "d1" of "900" litres
    And the session moves to entry host 2
    Then the session reads "900" litres for delivery "d1"
    And the read ran on the primary because "REPLICAS_BEHIND"

  Scenario: A caller with a wrong key is refused and the key reaches no backend server
    When a caller connects with the key "wrong-key"
    Then the caller is refused with SQLSTATE "28P01"
    And no backend server has seen "wrong-key"

  Scenario: The key of the workspace stays at the entry host
    Given session "dispatcher" is connected to entry host 1
    When the session books delivery "d1" of "900" litres
    Then no backend server has seen the key of the workspace

  Scenario: A write without a replica that has received it has an unknown outcome
    Given session "dispatcher" is connected to entry host 1
    When the replicas receive nothing more
    And the session books delivery "d1" of "900" litres
    Then the booking fails with SQLSTATE "40003"
