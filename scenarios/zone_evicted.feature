Feature: A zone of cheap engines is evicted

  Background:
    Given 4 engines in 3 zones
    And 2 cheap engines in zone-1
    And 2 cheap engines in zone-2
    And 3 entries
    And class "question" of tier 1 with first token in 1.2 s and 40 ms between tokens
    And class "summary" of tier 2 with completion in 30 s
    And class "invitation" of tier 3 with completion in 120 s
    And 10 teams
    And 60 % of requests are "question" with prompts of 200 tokens and answers of 40 tokens
    And 25 % of requests are "summary" with prompts of 800 tokens and answers of 120 tokens
    And 15 % of requests are "invitation" with prompts of 300 tokens and answers of 300 tokens

  Scenario: Five seconds of notice at a busy time
    When the load is 0.7 times capacity for 240 s
    And at 90 s the cheap engines of zone-1 get notice of 5 s
    Then no request is cut
    And at least 95 % of "question" meet their targets
    And at least 95 % of "summary" meet their targets
