"""Small models of the lease and loan protocols, checked by exhaustive search.

Each safety rule of a protocol is a flag of its model. The search has to find no unsafe
state with all rules, and one when any of them is switched off.
"""
