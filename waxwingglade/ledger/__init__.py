"""Keep turns and budgets at a majority of the VMs with disks."""
