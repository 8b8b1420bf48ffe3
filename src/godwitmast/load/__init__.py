"""Load tests over HTTP, and simulations of scenarios and fleets in virtual time."""
