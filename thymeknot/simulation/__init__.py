"""Simulates fleets and their failures, checks invariants and compares policies.

`scenarios` and `large_fleet_scenarios` define what happens during a simulated day, drawn from a
seed. `servers` and `shared_services` model what the instances depend on. `simulator` runs a day
with any policy. `invariants` checks the rules and shares no code with what it checks.
`baseline_policies` and `earlier_versions` provide the policies that the current one is compared
with. `experiments`, `statistics`, `recording` and `report` measure and present the results.

The package has its own dependencies (requirements-laboratory.txt); the sidecar never imports it.
"""
