"""The demo: real processes, a generated manifest, trainers and ordinary callers."""
