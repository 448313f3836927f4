"""Adapter to the users' platform: its settings, bodies, paths and words.

Nothing outside this package knows the names on that wire, and nothing in it
decides: it decodes what arrives into the types of the product and encodes
what the product answers.
"""
