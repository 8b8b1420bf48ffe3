Feature: A straggler whose report lags

  Background:
    Given 6 engines in 3 zones
    And 3 entries
    And class "question" of tier 1 with first token in 1.2 s and 40 ms between tokens
    And class "summary" of tier 2 with completion in 30 s
    And class "invitation" of tier 3 with completion in 120 s
    And 10 teams
    And 60 % of requests are "question" with prompts of 200 tokens and answers of 40 tokens
    And 25 % of requests are "summary" with prompts of 800 tokens and answers of 120 tokens
    And 15 % of requests are "invitation" with prompts of 300 tokens and answers of 300 tokens

  Scenario: One engine at a tenth of its speed
    When the load is 0.6 times capacity for 300 s
    And at 60 s engine-2 runs at 10 % of its speed and its report lags 20 s
    Then at least 97 % of "question" meet their targets
