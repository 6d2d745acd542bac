"""Distribution of the configuration, the list of targets and the ledger's members."""
