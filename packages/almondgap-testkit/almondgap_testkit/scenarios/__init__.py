"""The scenario language: deployments, traffic, faults and expectations."""
