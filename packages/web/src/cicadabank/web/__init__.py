"""HTTP interfaces served by circuits.web, with calls handled in threads.

The package re-exports nothing, so that the platform's processes can import
`listeners` and open their sockets before they import the rest.
"""
