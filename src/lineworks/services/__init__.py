"""Services of an instance: the parts that own sockets, connections and background tasks."""
