"""What is kept in memory: numbered slots, the ordered deadlines, the exchange list."""
