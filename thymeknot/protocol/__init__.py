"""Wire protocols: parsers, serializers and the connections that use them."""
