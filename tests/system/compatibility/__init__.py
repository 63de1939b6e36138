"""What earlier texts of this software wrote, and the tests that today's text reads it."""
