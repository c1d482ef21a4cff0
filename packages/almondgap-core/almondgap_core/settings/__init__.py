"""The configuration shared by all hosts: its format, rollout and distribution."""
