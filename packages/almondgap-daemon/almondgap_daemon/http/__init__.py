"""HTTP/1.1 client and server over Twisted, with framing by h11.

Whether a request can be retried depends on details that Twisted's own agent and server
do not expose: whether bytes of the request may have reached a target, whether the
response was complete, and whether extra bytes followed it.
"""
