"""Runs the product on the Piggy Bank Pals platform: this package only translates."""
