"""HTTP/1.1 over Twisted: framing by h11, with what a verdict needs to know.

Whether bytes of a request may have reached a target, whether an answer is whole and
whether surplus bytes followed it decides what may be sent again. Twisted's own agent
and server keep these to themselves.
"""
