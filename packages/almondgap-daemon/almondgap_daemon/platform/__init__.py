"""Names, formats and calls of the users' platform; nothing here decides.

Wire names are decoded once, here, into types whose fields say what they hold.
"""
