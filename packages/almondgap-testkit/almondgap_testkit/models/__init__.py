"""Small models of protocols, searched state by state."""
