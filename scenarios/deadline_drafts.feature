Feature: Quick taproom questions over long drafts at a deadline

  Background:
    Given 5 engines in 3 zones
    And 3 entries
    And class "taproom" of tier 1 with first token in 1.2 s and 40 ms between tokens
    And class "reconcile" of tier 2 with completion in 60 s
    And class "draft" of tier 3 with completion in 300 s
    And class "draft" gets at least 10 % of dispatch turns
    And 10 teams
    And 55 % of requests are "taproom" with prompts of 150 tokens and answers of 40 tokens
    And 20 % of requests are "reconcile" with prompts of 1000 tokens and answers of 100 tokens
    And 25 % of requests are "draft" with prompts of 1500 tokens and answers of 700 tokens

  Scenario: The last evening before the deadline
    When the load is 1.5 times capacity for 600 s
    And from 120 s to 300 s "taproom" comes 5 times as often
    Then at least 95 % of "taproom" meet their targets
    And at most 2 % of generated tokens are wasted
    And no class starves
