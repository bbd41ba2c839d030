"""The command line for fleet operators."""
