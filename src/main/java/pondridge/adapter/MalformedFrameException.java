package pondridge.adapter;

/** Thrown for input that violates the wire format; the message names the violation and its position. */
final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
