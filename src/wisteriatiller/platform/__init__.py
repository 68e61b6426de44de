"""The users' platform: its names, formats and calls, and nothing that decides.

``python -m wisteriatiller.platform`` runs a host on it.
"""
