"""The numbered configuration: its document, patches and spread."""
