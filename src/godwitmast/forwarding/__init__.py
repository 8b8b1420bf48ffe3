"""Forwarding of requests to other VMs while a VM reaches no backend server itself."""
