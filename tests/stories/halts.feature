Feature: Halts that also bind units that are not notified
  After the stated bound no further unit goes out, and units that are out may return.

  Scenario: Half of a wave is out and a third of the units is partitioned
    Given a fleet of 240 units in 4 zones on a lossy network
    When a release in waves of 1.0 begins
    And 4 seconds pass
    And a third of the units is partitioned
    And the operator halts the fleet
    And 30 seconds pass
    Then no unit goes out after the bound
    And no invariant was violated
    When the network heals
    And the operator requests a rollback
    Then the rollback is finished within 300 seconds
    And every unit has the old build
    And no invariant was violated

  Scenario: A halt and a rollback, halted midway and requested again
    Given a fleet of 120 units in 4 zones on a lossy network
    When a release in waves of 1.0 begins
    And 40 seconds pass
    And the operator halts the fleet
    And the operator requests a rollback
    And 5 seconds pass
    And the operator halts the fleet
    And 20 seconds pass
    Then no unit goes out after the bound
    And the release is held
    When the operator requests a rollback
    Then the rollback is finished within 300 seconds
    And every unit has the old build
    And no invariant was violated

  Scenario: Permits that arrive after the bound are ignored
    Given a fleet of 60 units in 3 zones on a lossy network
    When ann requests drains of all units of zone z0 starting with the first
    And every reply takes 5 seconds
    And 3 seconds pass
    And the operator halts the fleet
    And 30 seconds pass
    Then no unit goes out after the bound
    And no invariant was violated

  Scenario: Crashes that exceed a budget halt its domain until the units have recovered
    Given a fleet of 60 units in 3 zones on a lossy network
    When ann requests drains of all units of zone z0 starting with the first
    And 8 seconds pass
    And 3 units of zone z0 crash for 20 seconds
    And 10 seconds pass
    Then a halt names a budget and the units that exceeded it
    When units that are out return on their own
    And 60 seconds pass
    Then no halt is active
    And no invariant was violated

  Scenario: A request class that misses its objective halts one lane of one cluster only
    Given a fleet of 60 units in 3 zones on a lossy network
    When request class pay misses its objective in zone z0
    And ann requests a drain of unit-000
    And ann requests a drain of unit-001
    And 20 seconds pass
    Then unit-000 serves
    And unit-001 is out
    And the waiting request names the halt
    And no invariant was violated

  Scenario: All keepers are restarted before a halt reaches the units
    Given a fleet of 60 units in 3 zones on a lossy network
    When a release in waves of 1.0 begins
    And 5 seconds pass
    And the operator halts the fleet
    And all keepers fail
    And 10 seconds pass
    And the keepers restart
    And 30 seconds pass
    Then no unit goes out after the bound
    And no invariant was violated
