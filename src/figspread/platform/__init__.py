"""Clients of the platform's services: Object API, VM list, weight store."""
