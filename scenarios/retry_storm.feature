Feature: Callers resend what was refused

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

  Scenario: Every caller comes back each half second, ten times
    Given callers resend what was refused up to 10 times, every 0.5 s
    When the load is 2 times capacity for 300 s
    Then at most 2 % of generated tokens are wasted
    And at least 95 % of "question" meet their targets
