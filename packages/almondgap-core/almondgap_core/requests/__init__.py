"""The life of one request, from arrival to answer."""
