Feature: Drains within budgets
  A unit goes out of service only with a permit, so that no rack or zone exceeds its disruption budget.

  Scenario: Two operators drain the same zone from opposite ends
    Given a fleet of 240 units in 4 zones on a lossy network
    When ann requests drains of all units of zone z1 starting with the first
    And bob requests drains of all units of zone z1 starting with the last
    And 40 seconds pass
    Then 3 units of zone z1 are out
    And each waiting request names a budget and the units that block it
    And no invariant was violated

  Scenario: An unreachable permit holder keeps its place in the budget
    Given a fleet of 60 units in 3 zones on a lossy network
    When unit-000 is partitioned while it requests a drain
    And ann requests drains of all units of rack z0r0 starting with the first
    And 60 seconds pass
    Then at most 1 unit of rack z0r0 is out or partitioned
    And no invariant was violated

  Scenario: A suspended permit holder resumes after its permit has expired
    Given a fleet of 60 units in 3 zones on a lossy network
    When ann requests a drain of unit-000
    And unit-000 is suspended for 30 seconds as soon as its drain is granted
    And ann requests drains of all units of rack z0r0 starting with the last
    And 60 seconds pass
    Then at most 1 unit of rack z0r0 is out or partitioned
    And no invariant was violated

  Scenario: The reply with the permit does not reach the unit
    Given a fleet of 60 units in 3 zones on a lossy network
    When ann requests a drain of unit-000
    And the path from the keepers to unit-000 fails as soon as its drain is granted
    And 30 seconds pass
    Then unit-000 serves
    When the network heals
    And 10 seconds pass
    And ann requests a drain of unit-000
    And 10 seconds pass
    Then unit-000 is out
    And no invariant was violated

  Scenario: One drain is cancelled midway, and the unit of another crashes and restarts
    Given a fleet of 60 units in 3 zones on a lossy network
    When ann requests a drain of unit-000
    And ann requests a drain of unit-001
    And unit-000 begins its drain, and ann cancels unit-000
    And unit-001 begins its drain, and unit-001 crashes for 5 seconds
    And 30 seconds pass
    Then every unit serves
    And no unit holds a permit
    And no invariant was violated

  Scenario: Crashes that use up the budget of a zone prevent drains
    Given a fleet of 60 units in 3 zones on a lossy network
    When 3 units of zone z0 crash
    And 10 seconds pass
    And ann requests drains of all units of zone z0 starting with the first
    And 30 seconds pass
    Then no live unit of zone z0 is out
    And no invariant was violated

  Scenario: A unit whose rack and zone are always busy is not starved
    Given a fleet of 60 units in 3 zones on a lossy network
    When for 400 seconds other units of zone z0 drain and return in turn
    And ann requests a drain of unit-000 after the first 30 seconds
    Then unit-000 goes out within 400 seconds
    And no invariant was violated

  Scenario: All keepers fail while units drain
    Given a fleet of 120 units in 4 zones on a lossy network
    When ann requests drains of all units of zone z1 starting with the first
    And bob requests drains of all units of zone z2 starting with the first
    And 3 seconds pass
    And all keepers fail
    And units that are out return on their own
    And 60 seconds pass
    Then every unit serves
    And no invariant was violated
    When the keepers restart
    And 30 seconds pass
    Then the keepers know which units are out
    And no invariant was violated
