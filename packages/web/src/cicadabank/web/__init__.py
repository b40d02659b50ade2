"""HTTP interfaces served by circuits.web, with calls handled in threads.

The package re-exports nothing, so that the platform process can import `listeners` and
open its sockets before it imports the rest.
"""
