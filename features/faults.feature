Feature: Fault matrix

  Scenario: docs/faults.md is what the decision modules do today
    Then every cell of the fault matrix keeps its properties and the page is current
