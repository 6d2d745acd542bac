"""Tests of the simulation of turns, and of the benefit of placement."""
