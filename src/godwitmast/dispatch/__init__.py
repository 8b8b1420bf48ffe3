"""Choice of the server for an admitted request, and recovery when its attempt fails."""
