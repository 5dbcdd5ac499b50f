package pondridge.scale;

import java.net.InetSocketAddress;

/** A complete sidecar that serves requests, beside the hollow ones. Used on the thread of the run only. */
interface RealSidecar extends AutoCloseable {
    /** Returns the address to which clients connect. */
    InetSocketAddress address();

    /** Returns the CPU time so far. */
    long cpuNanos();

    /** Returns the resident memory; 0 for a sidecar that is not a separate process. */
    long residentKib();

    @Override
    void close();
}
