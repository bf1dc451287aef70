"""Requests from any front, attempts on any back, and the decision module between them; knows no wire."""
