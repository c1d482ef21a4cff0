"""The demo: an example fleet under traffic, changes and failures, then judged."""
