"""Comparison of policies for too little capacity, on replayed lots, engines and scorers."""
