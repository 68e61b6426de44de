"""Tests by theme; ``run_all`` runs every check of the project."""
