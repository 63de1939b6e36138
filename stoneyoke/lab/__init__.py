"""Gateway processes between stand-ins, over links that fail. Nothing on the serving path imports it."""
