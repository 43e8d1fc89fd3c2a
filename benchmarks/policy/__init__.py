"""Policy benchmark: turmericreach's decision packages simulated in virtual time."""
