"""Headers, row formats, settings and store calls that the users' platform prescribes.

Converts between the platform's wire names and the types of the core. Contains no
decisions.
"""
