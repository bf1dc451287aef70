"""Routing and admission of calls in a network of exchanges."""

from trackhatch.controller import Controller

__all__ = ["Controller"]
