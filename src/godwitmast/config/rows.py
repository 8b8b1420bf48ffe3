"""Where the configuration stands in the platform's table."""

HEAD_KEY = "config/head"
"""The row with the number and the document of the configuration in force."""
