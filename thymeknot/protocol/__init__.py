"""What is spoken on the wire: parsers and writers, and the connections that use them."""
