"""RESP2 and RESP3 codecs, for client connections and backend connections.

`frames` and `resp3_frames` find the end of a frame, `command_decoder` and `command_encoder`
translate between commands and calls, and four modules each hold the codec of one connection.
"""
