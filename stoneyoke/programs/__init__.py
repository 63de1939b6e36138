"""Thin programs that put the planes' libraries together."""
