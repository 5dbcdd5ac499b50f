package pondridge.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;

/**
 * Receives into buffers on the heap. Netty's default is direct memory, of which a process has little: once it is used
 * up, each allocation first waits for a garbage collection and then fails, on the event loop that all connections
 * share. The heap is bounded by {@link BufferBudgets}.
 */
public final class HeapReceiveBuffers extends AdaptiveRecvByteBufAllocator {
    private static final int MIN_BYTES = 512;
    private static final int INITIAL_BYTES = 2048;
    /** Small enough that an incomplete line, which the decoder keeps in the buffer, holds little memory. */
    private static final int MAX_BYTES = 16 * 1024;

    /** Creates an allocator; it may be shared by channels. */
    public HeapReceiveBuffers() {
        super(MIN_BYTES, INITIAL_BYTES, MAX_BYTES);
    }

    /**
     * Reduces a decoder's cumulated input to the bytes that are still to be decoded, if other bytes hold the larger
     * part of its memory.
     */
    public static void trim(ByteBuf cumulation) {
        if (cumulation.isReadable()
                && cumulation.refCnt() == 1
                && cumulation.capacity() > 2 * Math.max(MIN_BYTES, cumulation.readableBytes())) {
            cumulation.discardReadBytes();
            cumulation.capacity(cumulation.readableBytes());
        }
    }

    @Override
    @SuppressWarnings("deprecation")
    public Handle newHandle() {
        return new DelegatingHandle(super.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                return allocator.heapBuffer(guess());
            }
        };
    }
}
