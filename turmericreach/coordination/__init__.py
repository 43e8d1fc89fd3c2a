"""Which processes live, which one coordinates, and what they tell each other."""
