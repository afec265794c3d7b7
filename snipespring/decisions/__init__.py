"""Pure functions that compute decisions from records and a clock reading."""
