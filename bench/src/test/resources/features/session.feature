Feature: A session reads its own writes
  Replicas lag. A session reads its own writes through any entry host.

  Background:
    Given two entry hosts in front of a primary and two replicas
    And a table "delivery"

  Scenario: A write is read from the primary while the replicas lag
    Given the replicas have stopped replaying
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

  Scenario: A session that moves to another entry host reads its own write
    Given the replicas have stopped replaying
    And session "dispatcher" is connected to entry host 1
    When the session books delivery "d1" of "900" litres
    And the session moves to entry host 2
    Then the session reads "900" litres for delivery "d1"
    And the read ran on the primary because "REPLICAS_BEHIND"

  Scenario: A caller with a wrong key is refused and the key reaches no backend server
    When a caller connects with the key "wrong-key"
    Then the caller is refused with SQLSTATE "28P01"
    And no backend server has received "wrong-key"

  Scenario: The entry host does not pass the key of the workspace to a backend server
    Given session "dispatcher" is connected to entry host 1
    When the session books delivery "d1" of "900" litres
    Then no backend server has received the key of the workspace

  Scenario: A write that no replica has received has an unknown outcome
    Given session "dispatcher" is connected to entry host 1
    When the replicas stop receiving writes
    And the session books delivery "d1" of "900" litres
    Then the booking fails with SQLSTATE "40003"

  Scenario: A session continues after its primary has stopped
    Given session "dispatcher" is connected to entry host 2
    When the session books delivery "d1" of "900" litres
    And the primary stops
    And the session books delivery "d2" of "100" litres and checks unknown outcomes
    Then the session reads "900" litres for delivery "d1"
    And the session reads "100" litres for delivery "d2"

  Scenario: A write to an isolated primary is not acknowledged
    Given session "dispatcher" is connected to entry host 1
    When the session books delivery "d1" of "900" litres
    And the primary is cut off from its replicas
    And the session books delivery "d2" of "100" litres
    Then the session reads "900" litres for delivery "d1"

  Scenario: A withdrawn key is refused on an open connection
    Given session "dispatcher" is connected to entry host 1
    When the session books delivery "d1" of "900" litres
    And an operator withdraws the key of the workspace
    And the session books delivery "d2" of "100" litres until it fails
    Then the booking fails with SQLSTATE "28000"
