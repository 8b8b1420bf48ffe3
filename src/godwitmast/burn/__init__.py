"""The report of attainment and error-budget burn rates."""
