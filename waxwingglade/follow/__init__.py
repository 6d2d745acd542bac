"""Following the surroundings: configuration, targets and the ledger's members."""
