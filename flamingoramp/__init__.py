"""A serving layer for prompts of 1,000 to 1,000,000 tokens."""
