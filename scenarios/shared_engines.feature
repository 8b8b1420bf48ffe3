Feature: Many entries share the same engines

  Background:
    Given 6 engines in 3 zones
    And 9 entries
    And class "question" of tier 1 with first token in 1.2 s and 40 ms between tokens
    And class "summary" of tier 2 with completion in 30 s
    And class "invitation" of tier 3 with completion in 120 s
    And 10 teams
    And 60 % of requests are "question" with prompts of 200 tokens and answers of 40 tokens
    And 25 % of requests are "summary" with prompts of 800 tokens and answers of 120 tokens
    And 15 % of requests are "invitation" with prompts of 300 tokens and answers of 300 tokens

  Scenario: Nine entries, none of which knows the others' queues
    When the load is 0.8 times capacity for 240 s
    Then at least 95 % of "question" meet their targets
    And at most 2 % of generated tokens are wasted
