package pondridge.core;

/** What is known of a client's connection, whose disconnect may lie unread in its socket. */
public enum ConnectionState {
    /** It was open when its socket was last read to the end, or is being read. */
    OPEN,
    /** The client has disconnected. */
    CLOSED,
    /** The socket holds more than could be read in time, and a disconnect may lie behind it. */
    UNKNOWN
}
