"""Sample settings, a sample sheet, and the demo that uses them."""
