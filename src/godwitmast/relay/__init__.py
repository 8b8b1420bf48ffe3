"""The relay: the VM of an availability zone that writes to the platform for all."""
