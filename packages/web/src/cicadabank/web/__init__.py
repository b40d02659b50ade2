"""HTTP interfaces served by circuits.web, with calls handled in threads.

The package re-exports nothing: a starting process imports only `listeners` and `limits`
before its sockets listen.
"""
