"""Adapter that translates between the Piggy Bank Pals platform and this router."""
