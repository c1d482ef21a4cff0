"""Fleet-wide rate limits.

Each limit is divided into one share per failure domain. The host that holds the lease
on a share owns it, and lends it to the limit's home, which pools the shares of all
failure domains, so that any host can use the whole rate.
"""
