package pondridge.http1;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import pondridge.core.BodyBuffer;
import pondridge.core.BufferBudget;
import pondridge.core.Headers;

/** A request that is being received, is open, or waits behind the open request of its connection; and its memory. */
final class IncomingRequest {
    /** How far a request has been received. */
    enum Progress {
        /** More of the body is to come. */
        INCOMPLETE,
        COMPLETE,
        MALFORMED,
        BODY_TOO_LARGE,
        /** There was no memory for the whole of it; what was received is released. */
        NO_CAPACITY
    }

    private final BufferBudget.ConnectionShare share;
    private final HttpRequest head;
    private final BodyBuffer body;
    private int headBytes;
    private Progress progress = Progress.INCOMPLETE;
    private Throwable malformedBy;
    private long arrivedAt;

    /**
     * Begins a request.
     *
     * @param share where its memory counts
     * @param arrivedAt when its head arrived, in nanoseconds
     */
    IncomingRequest(HttpRequest head, BufferBudget.ConnectionShare share, int maxBodyBytes, long arrivedAt) {
        this.head = head;
        this.share = share;
        this.body = new BodyBuffer(share, maxBodyBytes);
        this.arrivedAt = arrivedAt;
        int bytes = head.uri().length() + Headers.memoryBytes(head.headers().iteratorCharSequence());
        if (share.tryReserve(bytes)) {
            headBytes = bytes;
        } else {
            progress = Progress.NO_CAPACITY;
        }
        add(head);
    }

    /** Adds a message of this request; only allowed while it is incomplete. */
    void receive(HttpObject message, long messageArrivedAt) {
        arrivedAt = messageArrivedAt;
        add(message);
    }

    private void add(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            progress = Progress.MALFORMED;
            malformedBy = message.decoderResult().cause();
        }
        if (progress != Progress.INCOMPLETE || !(message instanceof HttpContent content)) {
            return;
        }
        switch (body.append(content.content())) {
            case TOO_LARGE -> progress = Progress.BODY_TOO_LARGE;
            case NO_CAPACITY -> {
                release();
                progress = Progress.NO_CAPACITY;
            }
            default -> progress = message instanceof LastHttpContent ? Progress.COMPLETE : Progress.INCOMPLETE;
        }
    }

    HttpRequest head() {
        return head;
    }

    Progress progress() {
        return progress;
    }

    /** Why the request is malformed. */
    Throwable malformedBy() {
        return malformedBy;
    }

    /** When its last message so far arrived, in nanoseconds. */
    long arrivedAt() {
        return arrivedAt;
    }

    byte[] body() {
        return body.trimmedBytes();
    }

    /** Releases the memory, when the request has its response or is dropped. May be called more than once. */
    void release() {
        body.release();
        share.release(headBytes);
        headBytes = 0;
    }
}
