package pondridge.adapter;

/** Input that breaks the wire's format; the message says what and where. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
