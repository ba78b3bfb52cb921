Feature: Releases as waves of permits
  A release requests permits like an operator, waits for a vote after each wave, and can be rolled back.

  Scenario: A release in three waves during crashes
    Given a fleet of 96 units in 4 zones on a lossy network
    When a release in waves of 0.1, 0.4 and 1.0 begins
    And the decision module approves each completed wave
    And 4 units crash for 8 seconds during the release
    And the operator resumes every halt caused by crashes
    Then the release is finished within 600 seconds
    And every unit has the new build
    And no invariant was violated

  Scenario: The second wave does not begin without a vote
    Given a fleet of 60 units in 3 zones on a lossy network
    When a release in waves of 0.1, 0.4 and 1.0 begins
    And 90 seconds pass
    Then 6 units have the new build
    When a vote for an unfinished wave arrives
    Then it is rejected with an explanation
    And no invariant was violated

  Scenario: A vote for a rollback during a wave rolls back every unit
    Given a fleet of 120 units in 4 zones on a lossy network
    When a release in waves of 0.2, 0.6 and 1.0 begins
    And the decision module approves each completed wave
    And 30 seconds pass
    And the decision module votes for a rollback
    Then the rollback is finished within 300 seconds
    And every unit has the old build
    And every unit serves
    And no invariant was violated

  Scenario: The new build crashes, and the rollback does not wait for the budget
    Given a fleet of 60 units in 3 zones on a lossy network
    When a release in waves of 0.1, 0.4 and 1.0 begins
    And 60 seconds pass
    And all units with the new build crash for 10 seconds and never finish their warm-up
    And 20 seconds pass
    And the operator requests a rollback
    Then the rollback is finished within 300 seconds
    And every unit has the old build
    And no invariant was violated

  Scenario: A unit that can't return is named with its reason
    Given a fleet of 60 units in 3 zones on a lossy network
    When a release in waves of 0.1, 0.4 and 1.0 begins
    And 4 seconds pass
    And one unit that is out will report a lost disk
    And the operator requests a rollback
    Then the rollback stops short and names that unit and its disk
    And all other units have the old build
    And no invariant was violated

  Scenario: A new release is requested during a rollback
    Given a fleet of 60 units in 3 zones on a lossy network
    When a release in waves of 0.5 and 1.0 begins
    And 30 seconds pass
    And the operator requests a rollback
    And another release of the same units is requested
    Then it is rejected with an explanation
    When another release of the same units is requested that waits
    Then the rollback is finished within 300 seconds
    And the other release is running within 10 seconds
    And no invariant was violated
