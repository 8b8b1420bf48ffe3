Feature: A crash in the middle of streams

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

  Scenario: Two engines crash, one after the other
    When the load is 0.6 times capacity for 240 s
    And at 60 s engine-1 crashes and is back after 20 s
    And at 120 s engine-4 crashes and is back after 20 s
    Then no request is cut
    And at least 95 % of "question" meet their targets
