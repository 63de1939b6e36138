"""What a core keeps on its disk."""
