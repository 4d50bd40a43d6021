"""HTTP/1.1 codecs of http-v2, for client connections and backend connections.

`frames` finds the end of a request; the two other modules each hold the codec of one connection.
`protocol_versions.http_v2` defines the meaning of requests and responses.
"""
