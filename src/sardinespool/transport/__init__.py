"""Transport: framed RPC between processes, and HTTP."""
