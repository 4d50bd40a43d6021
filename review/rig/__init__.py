"""Stand-ins, clients and process control for the cases of the review; standard library only."""
